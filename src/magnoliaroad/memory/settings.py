"""Settings of the memory of a process."""

from typing import NamedTuple


class MemorySettings(NamedTuple):
    """How much memory the process may use.

    Attributes:
        limit_mb: Memory at which the platform ends the process, in megabytes.
        request_fraction: Part of it for the bodies of requests. The largest is copied
            twice on its way, and the rest of the process takes a third of the memory of
            a small host.
        receive_fraction: Part of it for what the kernel holds of large bodies that
            callers send, and as much for answers of targets and for messages of hosts.
        unread_fraction: Part of it for replies that other hosts have not read.
        connection_fraction: Part of it for connections of callers, which bounds their
            number.
        check_interval_s: Time between two checks of the resident memory, in seconds.
        high_fraction: Part of the limit from which on memory is reported by holder, and
            garbage is collected as memory grows.
        unread_from_fraction: Part of the limit from which on bytes that were not read
            count too. Below it they cannot take the process to its limit.
        growth_fraction: Part of the limit by which memory grows between two of these
            collections.
        shed_fraction: Part of the limit above which the host gives up what is largest.
        shed_growth_fraction: Part of the limit by which memory grows before it does so
            again; what was given up stays resident until it is used again.
        trim_growth_fraction: Part of the limit by which memory grows above that part
            before free pages are returned to the system again.
        log_interval_s: Shortest time between two log lines about memory, in seconds.
    """

    limit_mb: int = 150
    request_fraction: float = 0.1
    receive_fraction: float = 0.08
    unread_fraction: float = 0.1
    connection_fraction: float = 0.25
    check_interval_s: float = 0.1
    high_fraction: float = 0.4
    unread_from_fraction: float = 0.5
    growth_fraction: float = 0.1
    shed_fraction: float = 0.7
    shed_growth_fraction: float = 0.05
    trim_growth_fraction: float = 0.01
    log_interval_s: float = 1.0

    @property
    def limit_bytes(self) -> int:
        """Memory at which the platform ends the process, in bytes."""
        return self.limit_mb * 1_000_000

    @property
    def request_bytes(self) -> int:
        """Most bytes of the bodies of all requests together."""
        return int(self.limit_bytes * self.request_fraction)

    @property
    def receive_bytes(self) -> int:
        """Most bytes of the kernel's enlarged buffers of one kind of connection."""
        return int(self.limit_bytes * self.receive_fraction)

    @property
    def unread_bytes(self) -> int:
        """Most bytes of replies that other hosts have not read."""
        return int(self.limit_bytes * self.unread_fraction)
