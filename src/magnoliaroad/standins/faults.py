"""Faults that can be injected into the key-value stand-ins."""

from typing import NamedTuple


class StoreFaults(NamedTuple):
    """Faults that are switched on.

    Attributes:
        down: Calls are neither executed nor answered.
        lose_answers: Calls are executed, but their answers are lost.
        delay_s: Delay added to each call, in seconds.
        stale: Reads are served from a snapshot taken when the fault was set.
        calls_per_s: Rate limit over all calls; 0 means no limit.
    """

    down: bool = False
    lose_answers: bool = False
    delay_s: float = 0.0
    stale: bool = False
    calls_per_s: float = 0.0
