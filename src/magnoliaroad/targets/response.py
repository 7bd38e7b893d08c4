"""A target's response, read as it arrives."""

import asyncio
from collections.abc import AsyncIterator, Callable

import aiohttp
from typing_extensions import override

from magnoliaroad.error_traces import forget_traces
from magnoliaroad.targets.answer import TargetAnswer
from magnoliaroad.targets.closable_response import ClosableResponse
from magnoliaroad.targets.errors import AnswerCut, TargetError, describe_error
from magnoliaroad.verdict import Verdict


class TargetResponse(TargetAnswer):
    """Status, headers and streamed body of a response.

    Closing a response that was not read to its end closes its connection, so that
    no later request on that connection reads the rest of the body.

    Args:
        resp: The response, whose headers have been received.
        silence_timeout_s: Longest wait for the next chunk of the body.
        is_doubtful: Whether it may belong to an earlier request on its connection, as
            it began before the whole request had been sent.
    """

    def __init__(
        self,
        resp: ClosableResponse,
        silence_timeout_s: float,
        is_doubtful: bool = False,
    ) -> None:
        self.is_doubtful = is_doubtful
        self._resp = resp
        self._silence_timeout_s = silence_timeout_s
        self.status = resp.status
        self.headers = resp.headers

    def check_is_own(self) -> None:
        """Checks that the answer is not one to an earlier request.

        For targets that state no request id. The answer to this request would still be
        to come, so that the connection is closed.

        Raises:
            TargetError: It may be one.
        """
        if self.is_doubtful:
            self.close_connection()
            raise TargetError("answer before the whole request", Verdict.MAY_HAVE_RUN)

    @override
    async def iter_chunks(self) -> AsyncIterator[bytes]:
        content = self._resp.content
        try:
            while not content.at_eof():
                async with asyncio.timeout(self._silence_timeout_s):
                    chunk = await content.readany()
                if chunk:
                    yield chunk
            if (failure := content.exception()) is not None:
                raise failure
        except (aiohttp.ClientError, TimeoutError) as exc:
            forget_traces(exc)
            raise AnswerCut(f"answer cut off: {describe_error(exc)}") from exc

    @override
    def when_complete(self, callback: Callable[[], None]) -> None:
        self._resp.content.on_eof(callback)

    @override
    def close(self) -> None:
        """Releases the connection if the body is complete, else closes it."""
        self._resp.close()

    @override
    def close_connection(self) -> None:
        self._resp.close_connection()
