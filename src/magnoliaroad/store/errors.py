"""Errors of the store, each with a verdict on the change it was to make."""

from collections.abc import Sequence

from magnoliaroad.store.entry import StoreEntry
from magnoliaroad.verdict import Verdict


class StoreError(Exception):
    """A call on the store that failed.

    Attributes:
        verdict: Whether the change may have taken effect.
    """

    verdict = Verdict.NOT_RUN


class StoreUnavailable(StoreError):
    """The store did not answer; a change may have taken effect."""

    verdict = Verdict.MAY_HAVE_RUN


class StoreRateLimited(StoreError):
    """The store refused the call because of its rate limit."""


class LeaseLost(StoreError):
    """The lease has lapsed or never existed."""


class HistoryGone(StoreError):
    """The changes asked for are no longer kept; the entries must be read anew."""


class StoreConflict(StoreError):
    """The entry is not at the expected revision.

    Attributes:
        current: The entry as it stands; ``None`` when it does not exist.
        entries: Entries that exist of those with an expected revision; at least
            ``current``.
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
