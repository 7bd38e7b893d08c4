"""Builds refusals and the HTTP responses for them."""

import math
from typing import Any

from aiohttp import web

from magnoliaroad.refusal import Refusal, Refused
from magnoliaroad.targets import TargetError
from magnoliaroad.verdict import Verdict

__all__ = [
    "ANSWER_NOT_HELD",
    "Refused",
    "bad_request",
    "refusal_body",
    "refusal_response",
    "target_failed",
    "target_rejected",
]

ANSWER_NOT_HELD = Refusal(
    code="answer_not_held",
    status=502,
    message="The host has no memory for the answer.",
    action="Check whether it ran.",
    verdict=Verdict.MAY_HAVE_RUN,
)


def refusal_body(refusal: Refusal) -> dict[str, Any]:
    """Returns the JSON body of the response for ``refusal``."""
    return {
        "error": {
            "code": refusal.code,
            "type": refusal.code,
            "message": refusal.message,
            "action": refusal.action,
            "verdict": refusal.verdict.value,
            "retry_after_s": refusal.retry_after_s,
        }
    }


def refusal_response(refusal: Refusal) -> web.Response:
    """Returns the HTTP response for ``refusal``."""
    resp = web.json_response(refusal_body(refusal), status=refusal.status)
    if refusal.retry_after_s is not None:
        resp.headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    return resp


def target_failed(exc: TargetError) -> Refusal:
    """Returns the refusal for a request that got no complete answer."""
    retry = exc.verdict is Verdict.NOT_RUN
    return Refusal(
        code="target_failed",
        status=502,
        message="The target did not give a whole answer.",
        action="Send the request again." if retry else "Check whether it ran.",
        verdict=exc.verdict,
        retry_after_s=1.0 if retry else None,
    )


def target_rejected(status: int) -> Refusal:
    """Returns the refusal for a request that an engine rejected as invalid."""
    return Refusal(
        code="target_rejected",
        status=status,
        message=f"The engine rejected the request with status {status}.",
        action="Correct the request.",
    )


def bad_request(message: str) -> Refusal:
    """Returns the refusal for an invalid request."""
    return Refusal(
        code="bad_request",
        status=400,
        message=message,
        action="Correct the request.",
    )
