"""Messages between the host of a caller and the owner of an intent."""

from typing import NamedTuple

from magnoliaroad.once.attempt import Attempt
from magnoliaroad.once.conclusion import Conclusion
from magnoliaroad.once.stored import StoredAnswer
from magnoliaroad.refusal import Refusal


class IntentBegin(NamedTuple):
    """Asks the owner to record an attempt.

    Asking again with the same attempt is safe until it was finished.
    """

    attempt: Attempt


class IntentBeginReply(NamedTuple):
    """The owner's decision.

    Attributes:
        owned: Whether the receiver owns the intent's group; nothing else
            counts if not.
        answer: The first answer, where the call has run.
        refusal: Why the attempt may not run; with neither an answer nor a
            refusal it is to run now.
    """

    TAG = "IntentReply"

    owned: bool
    answer: StoredAnswer | None = None
    refusal: Refusal | None = None


class IntentFinish(NamedTuple):
    """Reports how an attempt ended."""

    attempt: Attempt
    conclusion: Conclusion


class IntentFinishReply(NamedTuple):
    """Whether the conclusion was recorded; if not, it is to be sent again."""

    TAG = "IntentFinished"

    recorded: bool


class AttemptStateRequest(NamedTuple):
    """Asks the host of an attempt whether it still works on it."""

    TAG = "AttemptAsk"

    attempt_id: str


class AttemptState(NamedTuple):
    """Whether the host still works on the attempt."""

    running: bool
