"""Engines that each fail in one way."""

import asyncio
import json

from aiohttp import web


def event(text, number=None, finish=None, usage=None):
    choices = [{"index": 0, "delta": {"content": text}, "finish_reason": finish}]
    body = {"id": "c", "created": 1, "choices": choices}
    if usage is not None:
        body = {"id": "c", "created": 1, "choices": [], "usage": usage}
    prefix = b"" if number is None else b"id: %d\n" % number
    return prefix + b"data: " + json.dumps(body).encode() + b"\n\n"


USAGE = {"prompt_tokens": 5, "completion_tokens": 4, "total_tokens": 9}
WORDS = ("one ", "two ", "three ", "four ")


class TalkativeEngine:
    """Streams ``count`` events of ``text``, each with ``padding_bytes`` of no use."""

    def __init__(self, count, text, padding_bytes=0):
        self._count = count
        self._event = b": " + b"x" * padding_bytes + b"\n" + event(text)

    def app(self):
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._complete)
        return app

    async def _complete(self, req):
        resp = web.StreamResponse()
        resp.content_type = "text/event-stream"
        await resp.prepare(req)
        for _ in range(self._count):
            await resp.write(self._event)
        await resp.write(b"data: [DONE]\n\n")
        return resp


class InterruptedEngine:
    """Closes its streams in the middle of an event; can resume them if ``resumes``."""

    def __init__(self, resumes=True, cut_after=2):
        self.resumes = resumes
        self.cut_after = cut_after
        self.resume_requests = []
        self.runs = 0

    def app(self):
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/resume", self._resume)
        return app

    async def _complete(self, req):
        self.runs += 1
        resp = await self._start(req)
        for number in range(1, self.cut_after + 1):
            await resp.write(event(WORDS[number - 1], number))
        await resp.write(event(WORDS[self.cut_after], self.cut_after + 1)[:20])
        req.transport.close()
        return resp

    async def _resume(self, req):
        fields = await req.json()
        self.resume_requests.append(fields)
        if not self.resumes:
            return web.json_response({}, status=404)
        resp = await self._start(req)
        for number in range(fields["after"] + 1, len(WORDS) + 1):
            await resp.write(event(WORDS[number - 1], number))
        await resp.write(event("", finish="stop"))
        await resp.write(event("", usage=USAGE))
        await resp.write(b"data: [DONE]\n\n")
        return resp

    async def _start(self, req):
        resp = web.StreamResponse(headers={"X-Engine-Request-Id": "e1"})
        resp.content_type = "text/event-stream"
        await resp.prepare(req)
        return resp


class StallingEngine:
    """Sends one event and then nothing until ``proceed`` is set."""

    def __init__(self):
        self.runs = 0
        self.client_left = asyncio.Event()
        self.proceed = asyncio.Event()

    def app(self):
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._complete)
        return app

    async def _complete(self, req):
        self.runs += 1
        resp = web.StreamResponse()
        resp.content_type = "text/event-stream"
        await resp.prepare(req)
        await resp.write(event("one "))
        try:
            await self.proceed.wait()
        except asyncio.CancelledError:
            self.client_left.set()
            raise
        await resp.write(event("", finish="stop"))
        await resp.write(event("", usage=USAGE))
        await resp.write(b"data: [DONE]\n\n")
        return resp


class CrashingEngine(StallingEngine):
    """Closes the connection if a request contains the word ``poison``."""

    async def _complete(self, req):
        self.runs += 1
        body = await req.json()
        if "poison" not in str(body["messages"]):
            self.proceed.set()
            return await super()._complete(req)
        req.transport.abort()
        return web.Response()
