"""Returns a plain service's answer to the caller."""

from aiohttp import web

from magnoliaroad.caller_connection import end_by_close
from magnoliaroad.entry.headers import answer_headers
from magnoliaroad.once import StoredAnswer
from magnoliaroad.targets import TargetResponse

REPLAYED_HEADER = "Idempotent-Replayed"


class PlainReply:
    """The response to the caller, sent at once or streamed.

    Attributes:
        caller_left: Whether the caller has disconnected.
    """

    def __init__(self, req: web.Request) -> None:
        self.caller_left = False
        self._req = req
        self._resp = web.StreamResponse()

    def complete_response(
        self, answer: StoredAnswer, replayed: bool = False
    ) -> web.Response:
        """Returns the response for a complete answer.

        Args:
            answer: The complete answer.
            replayed: Whether it was recorded by an earlier call with the same
                idempotency key.
        """
        resp = web.Response(status=answer.status, body=answer.body)
        _copy_headers(resp, answer.headers)
        if replayed:
            resp.headers[REPLAYED_HEADER] = "true"
        return resp

    async def start(self, response: TargetResponse) -> None:
        """Sends the status and headers of an answer that is streamed."""
        self._resp.set_status(response.status)
        _copy_headers(self._resp, answer_headers(response.headers))
        if "Content-Length" in response.headers:
            self._resp.content_length = int(response.headers["Content-Length"])
        try:
            await self._resp.prepare(self._req)
            end_by_close(self._req, self._resp)
        except ConnectionError:
            self.caller_left = True

    async def write(self, chunk: bytes) -> None:
        """Sends a chunk of the body, unless the caller has disconnected."""
        if self.caller_left or not chunk:
            return
        try:
            await self._resp.write(chunk)
            # aiohttp waits for the caller only after each 64 KB.
            await self._req.writer.drain()
        except ConnectionError:
            self.caller_left = True

    async def end(self) -> web.StreamResponse:
        """Ends a streamed answer after its last chunk."""
        if not self.caller_left:
            await self._resp.write_eof()
        return self._resp


def _copy_headers(
    resp: web.StreamResponse, headers: tuple[tuple[str, str], ...]
) -> None:
    # aiohttp sets a default content type, which the target's replaces.
    resp.headers.popall("Content-Type", None)
    for name, value in headers:
        resp.headers.add(name, value)
