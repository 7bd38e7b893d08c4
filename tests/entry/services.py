"""A plain service that fails in the way that the path names."""

import asyncio

from aiohttp import web

BIG_BODY = bytes(range(256)) * 1200
# Times this body in a huge answer.
HUGE_PARTS = 7


class FaultyService:
    """Answers according to the path and records the requests it receives."""

    def __init__(self):
        self.requests = []
        self.proceed = asyncio.Event()

    def app(self):
        app = web.Application()
        app.router.add_route("*", "/{kind:.*}", self._answer)
        return app

    @property
    def runs(self):
        return len(self.requests)

    async def _answer(self, req):
        self.requests.append({"headers": dict(req.headers), "path": req.raw_path})
        return await getattr(self, "_" + req.match_info["kind"])(req)

    async def _small(self, req):
        resp = web.json_response({"run": self.runs}, headers={"ETag": '"7"'})
        resp.headers.add("Set-Cookie", "a=1")
        resp.headers.add("Set-Cookie", "b=2")
        resp.headers.add("Connection", "X-Hop")
        resp.headers.add("X-Hop", "1")
        return resp

    async def _big(self, req):
        resp = web.StreamResponse()
        await resp.prepare(req)
        for start in range(0, len(BIG_BODY), 65_536):
            await resp.write(BIG_BODY[start : start + 65_536])
        await resp.write_eof()
        return resp

    async def _huge(self, req):
        resp = web.StreamResponse()
        await resp.prepare(req)
        for _ in range(HUGE_PARTS):
            await resp.write(BIG_BODY)
        await resp.write_eof()
        return resp

    async def _cut(self, req):
        resp = web.StreamResponse()
        resp.content_length = len(BIG_BODY)
        await resp.prepare(req)
        await resp.write(BIG_BODY[:100_000])
        req.transport.close()
        return resp

    async def _reset(self, req):
        req.transport.close()
        return web.Response()

    async def _waits(self, req):
        await self.proceed.wait()
        return web.json_response({"run": self.runs})
