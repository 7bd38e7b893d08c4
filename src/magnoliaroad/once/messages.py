"""Messages between the host of an attempt and the owner of its intent."""

from typing import NamedTuple

from magnoliaroad.once.attempt import Attempt
from magnoliaroad.once.conclusion import Conclusion
from magnoliaroad.once.stored import StoredAnswer
from magnoliaroad.refusal import Refusal


class IntentBegin(NamedTuple):
    """Asks the owner to record an attempt.

    The request is idempotent until the attempt is finished.
    """

    attempt: Attempt


class IntentBeginReply(NamedTuple):
    """The owner's decision.

    Attributes:
        owned: Whether the receiver owns the intent's group. If it does not,
            the other fields have no meaning.
        answer: Answer of the attempt that ran, if one did.
        refusal: Why the attempt must not run. Without an answer and a
            refusal, the attempt is to run now.
    """

    TAG = "IntentReply"

    owned: bool
    answer: StoredAnswer | None = None
    refusal: Refusal | None = None


class IntentFinish(NamedTuple):
    """Reports the outcome of an attempt."""

    attempt: Attempt
    conclusion: Conclusion


class IntentFinishReply(NamedTuple):
    """Whether the outcome was recorded; if not, the sender retries."""

    TAG = "IntentFinished"

    recorded: bool


class AttemptStateRequest(NamedTuple):
    """Asks the host of an attempt whether it is still in progress."""

    TAG = "AttemptAsk"

    attempt_id: str


class AttemptState(NamedTuple):
    """Whether the attempt is still in progress on its host."""

    running: bool
