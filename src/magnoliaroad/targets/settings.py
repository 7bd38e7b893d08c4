"""Settings of connections to targets."""

from typing import NamedTuple


class TargetSettings(NamedTuple):
    """Time limits and pool size for targets.

    Attributes:
        connect_timeout_s: Longest wait for a connection.
        first_byte_timeout_s: Longest wait for the start of an answer.
        silence_timeout_s: Longest silence between bytes of an answer.
        pool_size: Most connections to one target.
        idle_s: Idle time after which a connection is not used again; below the
            usual idle timeouts of targets, which are 5 s and more.
    """

    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 60.0
    silence_timeout_s: float = 15.0
    pool_size: int = 256
    idle_s: float = 4.0
