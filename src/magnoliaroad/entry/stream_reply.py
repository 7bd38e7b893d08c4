"""A chat answer as server-sent events."""

import json

from aiohttp import web
from typing_extensions import override

from magnoliaroad.caller_connection import end_by_close
from magnoliaroad.entry.completion import Completion
from magnoliaroad.entry.events import DONE_EVENT, SEPARATOR
from magnoliaroad.entry.refused import refusal_body
from magnoliaroad.entry.reply import Reply
from magnoliaroad.refusal import Refusal


class StreamReply(Reply):
    """Forwards events as they arrive; only a complete answer ends with [DONE]."""

    def __init__(self, req: web.Request, headers: dict[str, str]) -> None:
        self._req = req
        self._resp = web.StreamResponse(headers=headers)
        self._resp.content_type = "text/event-stream"
        self._resp.headers["Cache-Control"] = "no-cache"

    @override
    async def write(self, events: bytes) -> None:
        if not events:
            return
        if not self.started:
            self.started = True
            await self._prepare()
        await self._resp.write(events)
        # aiohttp waits for the caller only after each 64 KB.
        await self._req.writer.drain()

    @override
    async def end(self, completion: Completion) -> web.StreamResponse:
        if not self.started:
            await self._prepare()
        await self._resp.write_eof(DONE_EVENT + SEPARATOR)
        return self._resp

    @override
    async def fail(self, refusal: Refusal) -> web.StreamResponse:
        body = json.dumps(refusal_body(refusal)).encode()
        await self._resp.write_eof(b"data: " + body + SEPARATOR)
        return self._resp

    async def _prepare(self) -> None:
        await self._resp.prepare(self._req)
        end_by_close(self._req, self._resp)
