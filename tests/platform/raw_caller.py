"""A caller that speaks HTTP byte by byte, and a target with given answers."""

import asyncio
import contextlib
import socket
from typing import NamedTuple

from tests.platform.target_standin import SIGNATURE, TargetStandin

# Size of the kernel's buffers of a slow caller's connection, in bytes.
SMALL_BUFFER = 4096


class RawAnswer(NamedTuple):
    """An answer as it was read from a connection.

    Attributes:
        status: HTTP status.
        headers: Headers, with their names in lower case.
        body: Body without its framing, as far as it arrived.
        whole: Whether it arrived to the end that its framing gives.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


@contextlib.asynccontextmanager
async def raw_caller(deployment, relay=0, buffer_bytes=None):
    """Connects to a host; yields the streams, as ``asyncio.open_connection``."""
    host = deployment.relays[relay]
    if buffer_bytes is not None:
        # Connections inherit the size from the listening socket.
        sock = host.server._caller_listener.socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    async with raw_connection(host.cfg.listen.callers, buffer_bytes) as streams:
        yield streams


@contextlib.asynccontextmanager
async def raw_connection(address, buffer_bytes=None):
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    if buffer_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=SMALL_BUFFER)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


def request_bytes(headers, path, method="GET", version="1.1", body=b""):
    if body and "Content-Length" not in headers:
        headers = headers | {"Content-Length": str(len(body))}
    lines = [f"{method} {path} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_head(reader):
    """Returns the status and the headers, with their names in lower case."""
    status_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines if line)
    return int(status_line.split(" ")[1]), {
        name.lower(): value for name, value in headers.items()
    }


async def read_answer(reader, method="GET"):
    """Reads one answer; fails if bytes of it are no HTTP."""
    status, headers = await read_head(reader)
    body = bytearray()
    try:
        if method == "HEAD" or status in (204, 304):
            pass
        elif headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await _read_into(body, reader, size)
                assert await reader.readexactly(2) == b"\r\n"
            assert await reader.readexactly(2) == b"\r\n"
        else:
            await _read_into(body, reader, int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawAnswer(status, headers, bytes(body), False)
    return RawAnswer(status, headers, bytes(body), True)


async def _read_into(body, reader, size):
    while size:
        piece = await reader.read(size)
        if not piece:
            raise asyncio.IncompleteReadError(b"", size)
        body += piece
        size -= len(piece)


async def exchange(deployment, path, method="POST", body=b"m", **changes):
    """Sends a request on a connection of its own; returns the answer.

    If the connection stays open, the next answer on it must be that of a next request.
    """
    headers = deployment.headers(**changes)
    async with (
        deployment.exchange_slots,
        raw_caller(deployment) as (reader, writer),
    ):
        writer.write(request_bytes(headers, path, method, body=body))
        answer = await read_answer(reader, method)
        request_id = headers["Magnoliaroad-Request-Id"]
        assert answer.headers["magnoliaroad-request-id"] == request_id
        if not answer.whole or answer.headers.get("connection") == "close":
            return answer
        following = deployment.headers()
        writer.write(request_bytes(following, "/none/x", "POST", body=b"next"))
        status, answered = await read_head(reader)
        expected = (404, following["Magnoliaroad-Request-Id"])
        assert (status, answered["magnoliaroad-request-id"]) == expected
    return answer


async def read_rest(reader, limit_s=3.0):
    """Returns what arrives until the connection ends or is silent for ``limit_s``."""
    received = bytearray()
    try:
        while True:
            async with asyncio.timeout(limit_s):
                piece = await reader.read(65_536)
            if not piece:
                break
            received += piece
    except (TimeoutError, ConnectionError):
        pass
    return bytes(received)


class RawTarget(TargetStandin):
    """Answers with ``head`` and ``body``, after a signature and the request's id."""

    def __init__(self, name="i-app", service="app", body=b"whole", head=None):
        super().__init__(name, service)
        self.head = head
        self.body = body

    async def _write_scripted_answer(
        self, act, reader, writer, request_id, path, headers
    ):
        head = self.head or f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}"
        lines = [
            head,
            f"Magnoliaroad-Request-Id: {request_id}",
            f"Magnoliaroad-Response-Seal: {SIGNATURE}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + self.body)
        await writer.drain()
        return True
