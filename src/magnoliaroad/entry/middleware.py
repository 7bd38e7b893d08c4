"""Middleware that records metrics and turns exceptions into responses."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from aiohttp import web
from loguru import logger

from magnoliaroad.caller_connection import cut_off_answer
from magnoliaroad.caller_left import caller_left
from magnoliaroad.entry.metrics import IN_FLIGHT, LATENCY, REFUSALS, REQUESTS
from magnoliaroad.entry.refused import Refused, refusal_response
from magnoliaroad.in_flight import InFlightRequests
from magnoliaroad.refusal import Refusal
from magnoliaroad.unsent_bytes import limit_unsent
from magnoliaroad.verdict import Verdict

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
BEGUN = web.RequestKey("begun", web.StreamResponse)

INTERNAL_ERROR = Refusal(
    code="internal_error",
    status=500,
    message="The host failed while it handled the request.",
    action="Check whether the request ran before sending it again.",
    verdict=Verdict.MAY_HAVE_RUN,
)


def request_middleware(in_flight: InFlightRequests):
    """Returns middleware that counts and times requests and handles exceptions."""

    @web.middleware
    async def middleware(req: web.Request, handler: Handler) -> web.StreamResponse:
        started_at = time.monotonic()
        if req.transport is not None:
            limit_unsent(req.transport, in_flight.count)
        with in_flight:
            resp = await _respond(req, handler)
        kind = req.match_info.route.name or "other"
        REQUESTS.inc({"kind": kind, "status": str(resp.status)})
        LATENCY.observe({"kind": kind}, time.monotonic() - started_at)
        IN_FLIGHT.set({}, in_flight.count)
        return resp

    return middleware


async def note_begun(req: web.Request, resp: web.StreamResponse) -> None:
    """Records that an answer has begun; a handler of ``on_response_prepare``."""
    req[BEGUN] = resp


async def _respond(req: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(req)
    except (Exception, asyncio.CancelledError) as exc:
        lost = isinstance(exc, ConnectionError | asyncio.CancelledError)
        if lost and caller_left(req):
            logger.bind(path=req.path).info("caller left")
            await _cut_off_if_begun(req)
            if isinstance(exc, asyncio.CancelledError):
                raise
            # The response is never sent; 499 is for the metrics.
            return web.Response(status=499)
        refusal = _refusal_for(req, exc)
    if BEGUN not in req:
        return _refuse(req, refusal)
    if await _cut_off_if_begun(req):
        logger.bind(path=req.path, code=refusal.code).warning("answer cut off")
    return req[BEGUN]


def _refusal_for(req: web.Request, exc: BaseException) -> Refusal:
    if isinstance(exc, Refused):
        return exc.refusal
    if isinstance(exc, web.HTTPException):
        return _from_http(exc)
    logger.bind(path=req.path).opt(exception=exc).error("request failed")
    return INTERNAL_ERROR


async def _cut_off_if_begun(req: web.Request) -> bool:
    """Ends the connection if an answer has begun that is not complete.

    No other answer may follow it, and its end must not look like that of a whole one.
    """
    resp = req.get(BEGUN)
    if resp is None or resp.body_length:
        return False
    await cut_off_answer(req)
    return True


def _refuse(req: web.Request, refusal: Refusal) -> web.Response:
    verdict = refusal.verdict.value
    REFUSALS.inc({"code": refusal.code, "verdict": verdict})
    logger.bind(
        code=refusal.code,
        verdict=verdict,
        path=req.path,
        retry_after_s=refusal.retry_after_s,
    ).info("refused")
    return refusal_response(refusal)


def _from_http(exc: web.HTTPException) -> Refusal:
    return Refusal(
        code=exc.reason.lower().replace(" ", "_"),
        status=exc.status,
        message=exc.reason,
        action="Correct the request.",
    )
