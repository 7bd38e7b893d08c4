"""Reads the bodies of callers' requests."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from magnoliaroad.idle import has_queued_request

# Longest wait for the next bytes of a body, in seconds; the default of nginx's
# ``client_body_timeout``.
BODY_STALL_S = 60.0
# Time between checks for a malformed body, in seconds.
CHECK_INTERVAL_S = 0.2


class BodyError(Exception):
    """A body that can't be used."""


class BodyTooLarge(BodyError):
    """The body is longer than is allowed, or announced so."""


class BodyMalformed(BodyError):
    """The body's encoding is invalid."""


class BodyStalled(BodyError):
    """The body did not arrive in time."""


def _ignore_size(size: int) -> None:
    pass


def check_length(req: web.BaseRequest, max_bytes: int) -> None:
    """Raises ``BodyTooLarge`` if a request announces more than ``max_bytes``."""
    if (req.content_length or 0) > max_bytes:
        raise BodyTooLarge


async def read_body(
    req: web.BaseRequest,
    max_bytes: int,
    stall_s: float,
    on_size: Callable[[int], None] = _ignore_size,
) -> bytes:
    """Returns the whole body of a request.

    Args:
        req: The request.
        max_bytes: Largest size of the body.
        stall_s: Longest wait for the next bytes, in seconds.
        on_size: Called with what has been read so far, in bytes; may raise to give up.

    Raises:
        BodyError: The body is too large or malformed, or does not arrive.
    """
    check_length(req, max_bytes)
    content, body = req.content, bytearray()
    while not content.at_eof():
        if content.is_eof() and content.exception() is None:
            # The rest has arrived, so that no timer is needed.
            body += content.read_nowait()
        else:
            body += await _next_chunk(req, stall_s)
        if len(body) > max_bytes:
            raise BodyTooLarge
        on_size(len(body))
    return bytes(body)


async def _next_chunk(req: web.BaseRequest, stall_s: float) -> bytes:
    until = asyncio.get_running_loop().time() + stall_s
    while True:
        try:
            async with asyncio.timeout(min(CHECK_INTERVAL_S, stall_s)) as limit:
                return await req.content.readany()
        except TimeoutError as exc:
            # aiohttp does not report a malformed chunk to the reader of the body.
            if has_queued_request(req.protocol):
                raise BodyMalformed from exc
            if limit.when() >= until:
                raise BodyStalled from exc
        except web.RequestPayloadError as exc:
            raise BodyMalformed from exc
