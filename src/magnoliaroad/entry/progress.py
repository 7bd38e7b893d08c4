"""Tracks whether a request may have run, and cancels it on key withdrawal."""

import asyncio

from magnoliaroad.entry.refused import Refused
from magnoliaroad.entry.withdrawal_watch import WithdrawalWatch
from magnoliaroad.keys import Caller
from magnoliaroad.refusal import Refusal
from magnoliaroad.verdict import Verdict

KEY_WITHDRAWN = Refusal(
    code="key_withdrawn",
    status=401,
    message="The key was withdrawn while the request was in progress.",
    action="Ask an operator for a key.",
)


class Progress:
    """Whether a request may have run so far.

    Attributes:
        verdict: Verdict to report if the request ended now.
    """

    def __init__(self) -> None:
        self.verdict = Verdict.NOT_RUN


class CancelOnWithdrawal:
    """Context manager that cancels its block when the caller's key is withdrawn.

    The block is then left with ``Refused`` and the verdict of ``progress``.
    """

    def __init__(
        self, watch: WithdrawalWatch, caller: Caller, progress: Progress
    ) -> None:
        self._watch = watch
        self._caller = caller
        self._progress = progress
        self._task: asyncio.Task | None = None
        self._withdrawn = False

    def __enter__(self) -> None:
        self._task = asyncio.current_task()
        if self._caller.digest:
            self._watch.add(self._caller, self._cancel)

    def __exit__(self, kind: type | None, *rest: object) -> None:
        self._watch.remove(self._caller, self._cancel)
        if not self._withdrawn or kind is not asyncio.CancelledError:
            return
        assert self._task is not None
        if self._task.uncancel() == 0:
            raise Refused(KEY_WITHDRAWN._replace(verdict=self._progress.verdict))

    def _cancel(self) -> None:
        assert self._task is not None
        self._withdrawn = True
        self._task.cancel()
