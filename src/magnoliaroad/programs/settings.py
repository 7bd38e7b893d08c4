"""Settings of programs."""

from typing import NamedTuple


class ProgramSettings(NamedTuple):
    """Limits and timeouts of programs and of the requests to their owners.

    Attributes:
        idle_limit_s: Idle time after which a program is ended.
        turn_limit: Largest number of calls of a program.
        order_wait_s: Longest wait for an earlier turn of the same program.
        owner_wait_s: Longest wait for a host that may act for the program.
        finish_wait_s: Longest wait until the end of a turn is recorded.
        retry_interval_s: Pause between attempts to reach an owner.
        answer_tokens: Largest number of answer tokens if the caller sets no limit.
        turn_check_s: Age of a turn at which its entry host is asked about it,
            and time between such requests.
        turn_lease_s: Time without a reply of that host after which the turn is
            settled.
        ended_keep_s: Time for which an ended program is kept.
        sweep_interval_s: Time between sweeps of programs and turns.
        engine_sweep_s: Time between sweeps for dead programs that engines hold.
        engine_timeout_s: Longest wait for an engine's reply.
    """

    idle_limit_s: float = 1800.0
    turn_limit: int = 200
    order_wait_s: float = 30.0
    owner_wait_s: float = 5.0
    finish_wait_s: float = 10.0
    retry_interval_s: float = 0.1
    answer_tokens: int = 1024
    turn_check_s: float = 3.0
    turn_lease_s: float = 4.0
    ended_keep_s: float = 600.0
    sweep_interval_s: float = 1.0
    engine_sweep_s: float = 30.0
    engine_timeout_s: float = 5.0
