"""Settings of the connections between hosts."""

from typing import NamedTuple


class PeerSettings(NamedTuple):
    """Settings of the connections between hosts.

    Attributes:
        seeds: Addresses ``ip:port`` to contact before host records are known.
        connect_timeout_s: Longest wait for a new connection.
        call_timeout_s: Longest wait for a reply.
        heartbeat_interval_s: Time between heartbeats on a connection in use.
        silence_timeout_s: Time without received bytes after which a connection in use
            is closed; the next message opens a new one.
        idle_timeout_s: Time without messages after which a connection is closed. An
            idle connection sends no heartbeats; if it breaks meanwhile, the first call
            that gets no reply detects this.
    """

    seeds: tuple[str, ...] = ()
    connect_timeout_s: float = 1.0
    call_timeout_s: float = 2.0
    heartbeat_interval_s: float = 1.0
    silence_timeout_s: float = 2.5
    idle_timeout_s: float = 10.0
