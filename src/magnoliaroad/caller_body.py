"""Reads the bodies of callers' requests."""

import asyncio
import contextlib
import typing
from collections.abc import Callable
from typing import Protocol

from aiohttp import web

from magnoliaroad.caller_connection import CallerConnection
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


class BodyGivenUp(BodyError):
    """The memory or the connection of the body was needed for others."""


class ArrivingBody(Protocol):
    """Counts what is held of a body."""

    def arriving(
        self, on_given_up: Callable[[], None]
    ) -> contextlib.AbstractContextManager[None]:
        """Counts a body that arrives; calls ``on_given_up`` if it is given up."""

    def grow_to(self, size: int) -> None:
        """Counts what has been read so far, in bytes; may raise to give up."""


def check_length(req: web.BaseRequest, max_bytes: int) -> None:
    """Raises ``BodyTooLarge`` if a request announces more than ``max_bytes``."""
    if (req.content_length or 0) > max_bytes:
        raise BodyTooLarge


async def read_body(
    req: web.BaseRequest, max_bytes: int, stall_s: float, held: ArrivingBody
) -> bytes:
    """Returns the whole body of a request.

    Args:
        req: The request.
        max_bytes: Largest size of the body.
        stall_s: Longest wait for the next bytes, in seconds.
        held: Counts what is held of it.

    Raises:
        BodyError: The body is too large or malformed, or does not arrive.
    """
    check_length(req, max_bytes)
    reader, body = _BodyReader(req, stall_s), bytearray()
    conn = typing.cast(CallerConnection, req.protocol)
    with held.arriving(reader.give_up), conn.receiving(reader.give_up):
        while not req.content.at_eof():
            body += await reader.read()
            if len(body) > max_bytes:
                raise BodyTooLarge
            held.grow_to(len(body))
    return bytes(body)


class _BodyReader:
    """Reads the next bytes of a body, unless it is given up meanwhile."""

    def __init__(self, req: web.BaseRequest, stall_s: float) -> None:
        self._req = req
        self._stall_s = stall_s
        self._limit: asyncio.Timeout | None = None
        self._given_up = False

    def give_up(self) -> None:
        """Ends the wait for the rest of the body."""
        self._given_up = True
        if self._limit is not None:
            self._limit.reschedule(asyncio.get_running_loop().time())

    async def read(self) -> bytes:
        """Returns what has arrived.

        Raises:
            BodyError: The body is malformed, does not arrive or was given up.
        """
        content = self._req.content
        if content.is_eof() and content.exception() is None:
            # The rest has arrived, so that no timer is needed.
            return content.read_nowait()
        until = asyncio.get_running_loop().time() + self._stall_s
        while True:
            if self._given_up:
                raise BodyGivenUp
            try:
                async with asyncio.timeout(
                    min(CHECK_INTERVAL_S, self._stall_s)
                ) as self._limit:
                    return await content.readany()
            except TimeoutError as exc:
                # aiohttp does not report a malformed chunk to the reader of the body.
                if has_queued_request(self._req.protocol):
                    raise BodyMalformed from exc
                if asyncio.get_running_loop().time() >= until:
                    raise BodyStalled from exc
            except web.RequestPayloadError as exc:
                raise BodyMalformed from exc
            finally:
                self._limit = None
