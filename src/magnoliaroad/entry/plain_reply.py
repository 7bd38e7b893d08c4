"""How a plain service's answer goes back to the caller."""

from aiohttp import web

from magnoliaroad.entry.headers import answer_headers
from magnoliaroad.once import StoredAnswer
from magnoliaroad.targets import TargetAnswer

REPLAYED_HEADER = "Idempotent-Replayed"


class PlainReply:
    """An answer on its way to the caller, whole or in pieces.

    Attributes:
        started: Whether the caller has received a part of it.
        caller_left: Whether the caller has left.
    """

    def __init__(self, req: web.Request) -> None:
        self.started = False
        self.caller_left = False
        self._req = req
        self._resp = web.StreamResponse()

    def complete_response(
        self, answer: StoredAnswer, replayed: bool = False
    ) -> web.Response:
        """Returns the response for an answer that is there as a whole."""
        resp = web.Response(status=answer.status, body=answer.body)
        _copy_headers(resp, answer.headers)
        if replayed:
            resp.headers[REPLAYED_HEADER] = "true"
        return resp

    async def start(self, answer: TargetAnswer) -> None:
        """Sends status and headers of an answer that follows in pieces."""
        self._resp.set_status(answer.status)
        _copy_headers(self._resp, answer_headers(answer.headers))
        if "Content-Length" in answer.headers:
            self._resp.content_length = int(answer.headers["Content-Length"])
        self.started = True
        try:
            await self._resp.prepare(self._req)
        except ConnectionError:
            self.caller_left = True

    async def write(self, piece: bytes) -> None:
        """Sends a piece, unless the caller has left."""
        if self.caller_left or not piece:
            return
        try:
            await self._resp.write(piece)
        except ConnectionError:
            self.caller_left = True

    async def end(self) -> web.StreamResponse:
        """Ends an answer that was passed on as a whole."""
        if not self.caller_left:
            await self._resp.write_eof()
        return self._resp

    def abort(self) -> None:
        """Ends the connection, so that the caller can't take a part for a whole."""
        if self._req.transport is not None:
            self._req.transport.abort()


def _copy_headers(
    resp: web.StreamResponse, headers: tuple[tuple[str, str], ...]
) -> None:
    # The response starts with a content type of its own.
    resp.headers.popall("Content-Type", None)
    for name, value in headers:
        resp.headers.add(name, value)
