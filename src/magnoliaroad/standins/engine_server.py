"""HTTP stand-in for a model engine, backed by an ``EngineModel`` in real time."""

import asyncio
import json
import random
import time
import uuid
from typing import Any

from aiohttp import web

from magnoliaroad.programs.tokens import estimate_tokens
from magnoliaroad.routing.prefix import prefix_digests
from magnoliaroad.standins.engine_job import EngineJob
from magnoliaroad.standins.engine_model import EngineModel
from magnoliaroad.standins.engine_sequence import EngineSequence
from magnoliaroad.standins.engine_settings import EngineSettings

ANSWER_WORDS = ("the", "answer", "to", "that", "is", "quite", "short", "today")
DEFAULT_MAX_TOKENS = 64
SERVER_SETTINGS = EngineSettings(
    step_s=0.002,
    step_per_request_s=0.00002,
    prefill_tokens_per_s=1_000_000.0,
    memory_tokens=4_000_000,
    event_gap=0.0,
    batch=256,
)


class EngineServer:
    """Answers chat completions with fixed words at the speed of the model.

    Args:
        step_s: Time of a step with an empty batch, in seconds.
        answer_tokens: Tokens of each answer, unless the caller allows fewer.
        cfg: Settings of the engine; ``step_s`` overrides the value in it.
    """

    def __init__(
        self,
        step_s: float = 0.002,
        answer_tokens: int = 8,
        cfg: EngineSettings = SERVER_SETTINGS,
    ) -> None:
        self.answer_tokens = answer_tokens
        self.requests: list[dict[str, Any]] = []
        self.orders: list[dict[str, Any]] = []
        self.model = EngineModel(cfg._replace(step_s=step_s), random.Random(0))
        self._stepped = asyncio.Condition()
        self._step_task: asyncio.Task[None] | None = None

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=8_000_000)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/resume", self._resume)
        app.router.add_post("/v1/cancel", self._cancel)
        app.router.add_post("/v1/orders", self._accept_order)
        app.router.add_get("/v1/load", self._show_load)
        app.router.add_get("/v1/cache/events", self._show_events)
        app.router.add_get("/v1/cache/programs", self._show_programs)
        app.router.add_post("/v1/cache/release", self._release)
        return app

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        body = await req.json()
        self.requests.append({"headers": dict(req.headers), "body": body})
        job = self._make_job(req, body)
        self._start_stepping()
        self.model.submit(job, time.monotonic())
        seq_id = job.request_id
        return await self._stream(req, seq_id, body["model"], 0)

    async def _resume(self, req: web.Request) -> web.StreamResponse:
        fields = await req.json()
        request_id = fields["request"]
        if self._find_sequence(request_id) is None:
            return web.json_response({"error": "unknown request"}, status=404)
        return await self._stream(req, request_id, "", int(fields.get("after", 0)))

    async def _cancel(self, req: web.Request) -> web.Response:
        fields = await req.json()
        found = self.model.cancel(fields["request"], time.monotonic())
        async with self._stepped:
            self._stepped.notify_all()
        return web.json_response({"cancelled": found})

    async def _accept_order(self, req: web.Request) -> web.Response:
        order = await req.json()
        if not self.model.accept_fence(int(order.get("fence", 0))):
            return _stale_fence_response(self.model.fence)
        self.orders.append(order)
        return web.json_response({"accepted": True})

    async def _release(self, req: web.Request) -> web.Response:
        fields = await req.json()
        fence = int(fields.get("fence", 0))
        blocks = 0
        for program in fields["programs"]:
            released = self.model.release(program, fence, time.monotonic())
            if released is None:
                return _stale_fence_response(self.model.fence)
            blocks += released
        return web.json_response({"released": blocks})

    async def _show_load(self, req: web.Request) -> web.Response:
        return web.json_response(self.model.load(time.monotonic())._asdict())

    async def _show_events(self, req: web.Request) -> web.Response:
        after = int(req.query.get("after", 0))
        events = self.model.events(after, time.monotonic())
        last = self.model.event_number
        return web.json_response({"events": events, "last": last})

    async def _show_programs(self, req: web.Request) -> web.Response:
        return web.json_response({"programs": self.model.cache_bytes_by_program()})

    def _make_job(self, req: web.Request, body: dict[str, Any]) -> EngineJob:
        messages = body["messages"]
        allowed = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        count = min(self.answer_tokens, allowed)
        answer = {"role": "assistant", "content": _answer_text(0, count)}
        return EngineJob(
            request_id=uuid.uuid4().hex,
            program=req.headers.get("X-Program-Id", ""),
            prefix=prefix_digests(messages),
            prompt_tokens=estimate_tokens(messages),
            answer_tokens=max(1, count),
            priority=int(body.get("priority") or 0),
            history=prefix_digests([*messages, answer]),
        )

    def _start_stepping(self) -> None:
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._advance_model())

    async def _advance_model(self) -> None:
        """Advances the model until no request runs."""
        await asyncio.sleep(0)
        while self.model.running:
            await asyncio.sleep(self.model.cfg.step_s)
            self.model.advance(time.monotonic())
            async with self._stepped:
                self._stepped.notify_all()

    def _find_sequence(self, request_id: str) -> EngineSequence | None:
        return self.model.running.get(request_id) or self.model.ended.get(request_id)

    async def _stream(
        self, req: web.Request, request_id: str, model: str, sent: int
    ) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"X-Engine-Request-Id": request_id})
        resp.content_type = "text/event-stream"
        await resp.prepare(req)
        chunk = _chunk_fields(model)
        while (seq := await self._wait_for_more(request_id, sent)) is not None:
            text = _answer_text(sent, seq.generated)
            sent = seq.generated
            await resp.write(_event({**chunk, "choices": [_choice(text, None)]}, sent))
        seq = self.model.ended[request_id]
        last = [
            {**chunk, "choices": [_choice("", "stop")]},
            {**chunk, "choices": [], "usage": _usage(seq)},
        ]
        for number, event in enumerate(last, start=seq.generated + 1):
            if number > sent:
                await resp.write(_event(event, number))
        await resp.write(b"data: [DONE]\n\n")
        await resp.write_eof()
        return resp

    async def _wait_for_more(self, request_id: str, sent: int) -> EngineSequence | None:
        """Waits until a request has generated more than ``sent`` tokens.

        Returns:
            The request; ``None`` if it ended without further tokens.
        """
        async with self._stepped:
            while True:
                seq = self._find_sequence(request_id)
                if seq is not None and seq.generated > sent:
                    return seq
                if request_id in self.model.ended:
                    return None
                await self._stepped.wait()


def _stale_fence_response(fence: int) -> web.Response:
    return web.json_response({"error": "old fence", "fence": fence}, status=409)


def _chunk_fields(model: str) -> dict[str, Any]:
    return {
        "id": "chatcmpl-" + uuid.uuid4().hex,
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
    }


def _answer_text(start: int, end: int) -> str:
    count = len(ANSWER_WORDS)
    words = (ANSWER_WORDS[index % count] + " " for index in range(start, end))
    return "".join(words)


def _choice(text: str, finish_reason: str | None) -> dict[str, Any]:
    delta = {"role": "assistant", "content": text}
    return {"index": 0, "delta": delta, "finish_reason": finish_reason}


def _usage(seq: EngineSequence) -> dict[str, Any]:
    prompt = seq.job.prompt_tokens
    return {
        "prompt_tokens": prompt,
        "completion_tokens": seq.generated,
        "total_tokens": prompt + seq.generated,
        "prompt_tokens_details": {"cached_tokens": seq.cached_tokens},
    }


def _event(body: dict[str, Any], event_id: int | None = None) -> bytes:
    """Encodes a server-sent event.

    The id of a token event is the number of tokens generated up to it.
    """
    prefix = b"" if event_id is None else b"id: %d\n" % event_id
    return prefix + b"data: " + json.dumps(body).encode() + b"\n\n"
