"""A caller that speaks HTTP byte by byte, and a target with given answers."""

import asyncio
import contextlib
import socket

from tests.platform.target_standin import SIGNATURE, TargetStandin

# Size of the kernel's buffers of a slow caller's connection, in bytes.
SMALL_BUFFER = 4096


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
