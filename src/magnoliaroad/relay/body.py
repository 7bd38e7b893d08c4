"""Reads the bodies of requests to the relay."""

from aiohttp import web

from magnoliaroad import caller_body
from magnoliaroad.caller_body import (
    BODY_STALL_S,
    BodyError,
    BodyGivenUp,
    BodyMalformed,
    BodyStalled,
    BodyTooLarge,
)
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import (
    BODY_STALLED,
    BODY_TOO_LARGE,
    MEMORY_FULL,
    bad_call,
)
from magnoliaroad.relay.request_memory import HeldMemory

# Largest body of a request, in bytes; bodies are read before the configuration's own
# limit is known.
MAX_BODY_BYTES = 16_777_216
REFUSALS = {
    BodyTooLarge: BODY_TOO_LARGE,
    BodyMalformed: bad_call("The body is malformed."),
    BodyStalled: BODY_STALLED,
    BodyGivenUp: MEMORY_FULL,
}


def check_length(req: web.BaseRequest) -> None:
    """Raises ``Refused`` if the request announces a body that is too large."""
    try:
        caller_body.check_length(req, MAX_BODY_BYTES)
    except BodyError as exc:
        raise Refused(REFUSALS[type(exc)]) from exc


async def read_body(req: web.BaseRequest, held: HeldMemory) -> bytes:
    """Returns the whole body of a request, which is counted as it arrives.

    Raises:
        Refused: The body is too large or malformed, or does not arrive, or the requests
            of the host hold too much.
    """
    try:
        return await caller_body.read_body(req, MAX_BODY_BYTES, BODY_STALL_S, held)
    except BodyError as exc:
        raise Refused(REFUSALS[type(exc)]) from exc
