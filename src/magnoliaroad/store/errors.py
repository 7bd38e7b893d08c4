"""Errors of store calls; each states whether the change may have taken effect."""

from collections.abc import Sequence

from magnoliaroad.store.entry import StoreEntry
from magnoliaroad.verdict import Verdict


class StoreError(Exception):
    """Base class of failed store calls.

    Attributes:
        verdict: Whether the change may have taken effect.
    """

    verdict = Verdict.NOT_RUN


class StoreUnavailable(StoreError):
    """The store sent no usable response; a change may have taken effect."""

    verdict = Verdict.MAY_HAVE_RUN


class UnusableAnswer(StoreUnavailable):
    """The store sent an answer that is not as its protocol states.

    Attributes:
        reason: The field and what is wrong with it; holds nothing of its value.
    """

    def __init__(self, call: str, reason: str) -> None:
        self.reason = reason
        super().__init__(f"{call}: {reason}")


class StoreRateLimited(StoreError):
    """The store rejected the call because of its rate limit."""


class StoreRejected(StoreError):
    """The store does not accept the call as it is, and never will.

    For example, a key or a value is larger than the store allows.
    """


class LeaseLost(StoreError):
    """The lease has expired or never existed."""


class HistoryGone(StoreError):
    """The store has discarded the requested changes; list the entries again."""


class StoreConflict(StoreError):
    """The entry is not at the expected revision.

    Attributes:
        current: The current entry; ``None`` if it does not exist.
        entries: The existing entries among the keys with an expected revision; includes
            ``current`` if that exists.
    """

    def __init__(
        self,
        key: str,
        current: StoreEntry | None,
        entries: Sequence[StoreEntry] = (),
    ) -> None:
        self.current = current
        self.entries = entries or ([] if current is None else [current])
        revision = 0 if current is None else current.revision
        super().__init__(f"{key!r} is at revision {revision}")
