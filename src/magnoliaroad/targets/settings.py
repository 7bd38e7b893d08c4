"""Settings of connections to targets."""

from typing import NamedTuple


class TargetSettings(NamedTuple):
    """Timeouts and connection pool of requests to targets.

    Attributes:
        connect_timeout_s: Longest wait for a new connection.
        first_byte_timeout_s: Longest wait for the headers of a response.
        silence_timeout_s: Longest pause between two chunks of a response body.
        pool_size: Maximum number of connections to one target.
        idle_s: Idle time after which a pooled connection is closed. Keep it below
            the idle timeouts of the targets, which are usually 5 s or more.
    """

    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 60.0
    silence_timeout_s: float = 15.0
    pool_size: int = 256
    idle_s: float = 4.0
