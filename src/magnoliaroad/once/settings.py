"""Settings of calls that run at most once."""

from typing import NamedTuple


class OnceSettings(NamedTuple):
    """How intents are recorded and stored.

    Attributes:
        retention_s: Time for which repeats of a call are recognised.
        answer_limit_bytes: Largest body of an answer that is stored.
        begin_timeout_s: Longest wait for the intent to be recorded, after
            which the call is refused.
        finish_wait_s: Longest time that an answer is delayed until it is
            recorded.
        lost_after_s: Age at which an attempt of an unreachable host is
            reported as one that may have run instead of as in progress.
        ask_timeout_s: Timeout of the query for the state of an attempt.
        retry_interval_s: Time between attempts to reach the owner.
        sweep_interval_s: Time between deletions of intents past retention.
    """

    retention_s: float = 14_400.0
    answer_limit_bytes: int = 16_384
    begin_timeout_s: float = 3.0
    finish_wait_s: float = 1.0
    lost_after_s: float = 10.0
    ask_timeout_s: float = 0.5
    retry_interval_s: float = 0.1
    sweep_interval_s: float = 30.0
