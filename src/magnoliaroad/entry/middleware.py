"""Middleware that records metrics and turns exceptions into responses."""

import time
from collections.abc import Awaitable, Callable

from aiohttp import web
from loguru import logger

from magnoliaroad.entry.metrics import IN_FLIGHT, LATENCY, REFUSALS, REQUESTS
from magnoliaroad.entry.refused import Refused, refusal_response
from magnoliaroad.in_flight import InFlightRequests
from magnoliaroad.refusal import Refusal
from magnoliaroad.verdict import Verdict

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

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
        with in_flight:
            resp = await _respond(req, handler)
        kind = req.match_info.route.name or "other"
        REQUESTS.inc({"kind": kind, "status": str(resp.status)})
        LATENCY.observe({"kind": kind}, time.monotonic() - started_at)
        IN_FLIGHT.set({}, in_flight.count)
        return resp

    return middleware


async def _respond(req: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(req)
    except Refused as exc:
        return _refuse(req, exc.refusal)
    except web.HTTPException as exc:
        return _refuse(req, _from_http(exc))
    except ConnectionError:
        # The caller has disconnected, so the response is never sent; 499 is for
        # the metrics.
        return web.Response(status=499)
    except Exception as exc:
        logger.bind(path=req.path).opt(exception=exc).error("request failed")
        return _refuse(req, INTERNAL_ERROR)


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
