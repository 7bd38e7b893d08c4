"""A stand-in for a target that writes and ends its answers as a test says."""

import asyncio
import enum
import socket
import struct

from tests.platform.target_standin import (
    SIGNATURE,
    TargetStandin,
    read_until_closed,
)

SEAL = f"Magnoliaroad-Response-Seal: {SIGNATURE}"
OWN_ID = "Magnoliaroad-Request-Id: {id}"
EVENTS = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
LINGER_0 = struct.pack("ii", 1, 0)
# Time in which the host reads what was written before a reset, in seconds.
READ_PAUSE_S = 0.01


class End(enum.Enum):
    """How a connection ends: by the target, or by the host within 1.5 s."""

    CLOSE = "close"
    RESET = "reset"
    BY_HOST = "by host"


def head(*lines, status=200):
    """Returns the head of an answer; ``{id}`` stands for the id of the request."""
    return "\r\n".join([f"HTTP/1.1 {status} X", *lines, "", ""]).encode()


def by_close(body, media_type=EVENTS):
    """Returns the steps of an answer that ends with its connection."""
    return (head(SEAL, OWN_ID, media_type) + body, End.CLOSE)


def by_last_chunk(body, media_type=EVENTS):
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    return (head(SEAL, OWN_ID, media_type, CHUNKED) + chunk,)


def by_length(body, media_type=EVENTS):
    return (head(SEAL, OWN_ID, media_type, f"Content-Length: {len(body)}") + body,)


FRAMINGS = [by_close, by_last_chunk, by_length]


class RawTarget(TargetStandin):
    """Takes as entries of its script also tuples of bytes, pauses and an ``End``.

    ``{id}`` in the bytes stands for the id of the request. Pauses are in seconds.
    """

    async def _write_scripted_answer(
        self, act, reader, writer, request_id, path, headers
    ):
        if isinstance(act, str):
            return await super()._write_scripted_answer(
                act, reader, writer, request_id, path, headers
            )
        for step in act:
            if step is End.RESET:
                await asyncio.sleep(READ_PAUSE_S)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
                writer.transport.abort()
                return False
            if step is End.CLOSE:
                return False
            if step is End.BY_HOST:
                async with asyncio.timeout(1.5):
                    self.abandoned += await read_until_closed(reader) == b""
                return False
            if isinstance(step, float):
                await asyncio.sleep(step)
                continue
            writer.write(step.replace(b"{id}", request_id.encode()))
            await writer.drain()
        return True


class CaseTarget(RawTarget):
    """Takes its answers from ``cases``, by the path of the request.

    Args:
        cases: The answers left for each path, in the order of the attempts; the last
            one applies to all further attempts. Targets of a service share it.
    """

    def __init__(self, name, service, cases):
        super().__init__(name, service)
        self.cases = cases

    async def _write_scripted_answer(
        self, act, reader, writer, request_id, path, headers
    ):
        acts = self.cases[path]
        act = acts[0] if len(acts) == 1 else acts.pop(0)
        return await super()._write_scripted_answer(
            act, reader, writer, request_id, path, headers
        )
