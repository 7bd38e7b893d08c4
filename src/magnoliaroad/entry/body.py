"""Reads the bodies of requests, also of callers that wait to be asked for them."""

from aiohttp import web

from magnoliaroad.caller_body import (
    BODY_STALL_S,
    BodyError,
    BodyGivenUp,
    BodyMalformed,
    BodyStalled,
    BodyTooLarge,
    check_length,
    read_body,
)
from magnoliaroad.entry.refused import Refused, bad_request
from magnoliaroad.expectation import expects_continue, send_continue
from magnoliaroad.refusal import Refusal
from magnoliaroad.relay.refusals import MEMORY_FULL
from magnoliaroad.relay.request_memory import HeldMemory

REFUSALS = {
    BodyTooLarge: Refusal(
        code="request_entity_too_large",
        status=413,
        message="The body is larger than this host accepts.",
        action="Send a smaller body.",
    ),
    BodyMalformed: bad_request("The body is malformed."),
    BodyStalled: Refusal(
        code="body_stalled",
        status=408,
        message="The body did not arrive in time.",
        action="Send the request again.",
    ),
    BodyGivenUp: MEMORY_FULL,
}


async def ignore_expectation(req: web.Request) -> None:
    """Replaces aiohttp's handler, which asks for bodies of no use."""


async def receive_body(req: web.Request, max_bytes: int, held: HeldMemory) -> bytes:
    """Returns the whole body of a request, asking for it if its caller waits for that.

    The body is counted as it arrives.

    Raises:
        Refused: The body is too large or malformed, or does not arrive, or the requests
            of the host hold too much.
    """
    try:
        check_length(req, max_bytes)
        # Counted as it arrives: a caller may send none of it for long.
        held.check(req.content_length or 0)
        if expects_continue(req):
            await send_continue(req)
        return await read_body(req, max_bytes, BODY_STALL_S, held)
    except BodyError as exc:
        raise Refused(REFUSALS[type(exc)]) from exc
