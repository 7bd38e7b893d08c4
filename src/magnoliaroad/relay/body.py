"""Reads the bodies of callers' requests."""

import asyncio

from aiohttp import web

from magnoliaroad.idle import has_queued_request
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import BODY_STALLED, BODY_TOO_LARGE, bad_call

# Largest body of a request, in bytes; bodies are read before the configuration's own
# limit is known.
MAX_BODY_BYTES = 16_777_216
# Longest wait for the next bytes of a body, in seconds; the default of nginx's
# ``client_body_timeout``.
BODY_STALL_S = 60.0
# Time between checks for a malformed body, in seconds.
CHECK_INTERVAL_S = 0.2


def check_length(req: web.BaseRequest) -> None:
    """Raises ``Refused`` if the request announces a body that is too large."""
    if (req.content_length or 0) > MAX_BODY_BYTES:
        raise Refused(BODY_TOO_LARGE)


async def read_body(req: web.BaseRequest) -> bytes:
    """Returns the whole body of a request.

    Raises:
        Refused: The body is too large or malformed, or does not arrive.
    """
    content = req.content
    if content.is_eof() and content.exception() is None:
        # All of it is in the buffer, which holds far less than the largest body.
        return content.read_nowait()
    check_length(req)
    body = bytearray()
    while not content.at_eof():
        body += await _next_chunk(req)
        if len(body) > MAX_BODY_BYTES:
            raise Refused(BODY_TOO_LARGE)
    return bytes(body)


async def _next_chunk(req: web.BaseRequest) -> bytes:
    until = asyncio.get_running_loop().time() + BODY_STALL_S
    while True:
        try:
            async with asyncio.timeout(min(CHECK_INTERVAL_S, BODY_STALL_S)) as limit:
                return await req.content.readany()
        except TimeoutError as exc:
            # aiohttp does not report a malformed chunk to the reader of the body.
            if has_queued_request(req.protocol):
                raise Refused(bad_call("The body is malformed.")) from exc
            if limit.when() >= until:
                raise Refused(BODY_STALLED) from exc
        except web.RequestPayloadError as exc:
            raise Refused(bad_call("The body is malformed.")) from exc
