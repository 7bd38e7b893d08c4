"""Reads the bodies of a store's answers up to a bound."""

import aiohttp

from magnoliaroad.store.errors import StoreUnavailable, UnusableAnswer

# Most of an answer that is not counted, so that large answers hold up no small ones.
UNCOUNTED_BYTES = 65_536


class AnswerReader:
    """Reads bodies; bounds each of them, and those that are read at once.

    Args:
        most_bytes: Most bytes that all answers being read may hold together. Of each
            answer, the first ``UNCOUNTED_BYTES`` do not count.
    """

    def __init__(self, most_bytes: int) -> None:
        self.most_bytes = most_bytes
        self._held_bytes = 0

    async def read(
        self, call: str, resp: aiohttp.ClientResponse, limit_bytes: int
    ) -> bytearray:
        """Returns the body of ``resp``.

        Raises:
            UnusableAnswer: It is longer than ``limit_bytes`` or compressed.
            StoreUnavailable: Too many other large answers are being read.
        """
        if resp.headers.get("Content-Encoding", "identity") != "identity":
            raise UnusableAnswer(call, "body: compressed")
        body = bytearray()
        counted = 0
        try:
            async for chunk in resp.content.iter_any():
                body += chunk
                if len(body) > limit_bytes:
                    raise UnusableAnswer(call, f"body: more than {limit_bytes} B")
                more = max(0, len(body) - UNCOUNTED_BYTES) - counted
                counted += more
                self._held_bytes += more
                if self._held_bytes > self.most_bytes:
                    raise StoreUnavailable(f"{call}: too many large answers at once")
        finally:
            self._held_bytes -= counted
        return body
