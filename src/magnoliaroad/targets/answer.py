"""An answer of a target, read as it arrives."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from magnoliaroad.targets.errors import AnswerCut, describe_error


class TargetAnswer:
    """Status, headers and the body of an answer in pieces.

    Closing an answer that was not read to its end closes its connection, so
    that no later request reads what is left of it.

    Args:
        resp: The answer, of which the headers have come.
        silence_timeout_s: Longest wait for the next piece.
    """

    def __init__(self, resp: aiohttp.ClientResponse, silence_timeout_s: float) -> None:
        self._resp = resp
        self._silence_timeout_s = silence_timeout_s
        self.status = resp.status
        self.headers = resp.headers

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            AnswerCut: The body ended early or stayed silent too long.
        """
        content = self._resp.content
        try:
            while not content.at_eof():
                async with asyncio.timeout(self._silence_timeout_s):
                    chunk = await content.readany()
                if chunk:
                    yield chunk
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise AnswerCut(f"answer cut off: {describe_error(exc)}") from exc

    def close(self) -> None:
        """Gives the connection back if the answer is complete, else ends it."""
        self._resp.close()
