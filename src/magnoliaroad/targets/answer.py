"""The interface of a target's answer, however it arrives."""

import abc
from collections.abc import AsyncIterator, Callable

from multidict import CIMultiDictProxy


class TargetAnswer(abc.ABC):
    """Status, headers and streamed body of an answer.

    Attributes:
        status: HTTP status.
        headers: HTTP headers.
    """

    status: int
    headers: CIMultiDictProxy[str]

    @abc.abstractmethod
    def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks as it arrives.

        Raises:
            AnswerCut: The body ended early, or no chunk arrived in time.
        """

    @abc.abstractmethod
    def when_complete(self, callback: Callable[[], None]) -> None:
        """Calls ``callback`` once the whole body has arrived, before it is read."""

    @abc.abstractmethod
    def close(self) -> None:
        """Ends the answer; an incomplete body is discarded."""

    @abc.abstractmethod
    def close_connection(self) -> None:
        """Ends the answer and its connection, on which further bytes may follow."""
