"""Settings of the connections between hosts."""

from typing import NamedTuple


class PeerSettings(NamedTuple):
    """How hosts talk to each other.

    Attributes:
        seeds: Addresses ``ip:port`` to ask before the store has answered.
        connect_timeout_s: Longest wait for a new connection.
        call_timeout_s: Longest wait for a reply.
        heartbeat_interval_s: Time between heartbeats on a connection in use.
        silence_timeout_s: Silence after which a connection is replaced.
        idle_timeout_s: Time without messages after which a connection is closed. It
            has no heartbeats meanwhile; one that has gone dead shows by the first call
            that is not answered.
    """

    seeds: tuple[str, ...] = ()
    connect_timeout_s: float = 1.0
    call_timeout_s: float = 2.0
    heartbeat_interval_s: float = 1.0
    silence_timeout_s: float = 2.5
    idle_timeout_s: float = 10.0
