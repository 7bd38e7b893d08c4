"""A caller's connection that reads answers slowly and checks their framing."""

import asyncio
import re
import socket
from typing import NamedTuple

RECEIVE_BUFFER_BYTES = 4096
SEGMENT_BYTES = 536
FIRST_READ_BYTES = 64
MAX_HEAD_BYTES = 16_384
STATUS_LINE = re.compile(r"HTTP/1\.1 (\d{3}) .*")
CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")


class FramingError(Exception):
    """Bytes that are no answer of HTTP/1.1."""


class ConnClosed(Exception):
    """The connection ended before the answer did."""


class Pace(NamedTuple):
    """How an answer is read.

    Attributes:
        read_bytes: Most bytes of one read.
        pause_s: Pause before each read but the first, in seconds.
        rest_after: Number of bytes after which reading rests once.
        rest_s: Time of that rest, in seconds.
    """

    read_bytes: int = 65_536
    pause_s: float = 0.0
    rest_after: int = 0
    rest_s: float = 0.0


class Answer(NamedTuple):
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class SlowConn:
    """A connection with a small receive buffer.

    Attributes:
        received: Number of bytes of the answer that is being read.
    """

    def __init__(self, sock):
        self._sock = sock
        self._pace = Pace()
        self._buffer = bytearray()
        self._rested = False
        self.received = 0

    @classmethod
    async def open(cls, address):
        sock = socket.socket()
        sock.setblocking(False)
        # Both sizes take effect only if they are set before the connection is opened.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # With the large segments of loopback, the host's send buffer holds an answer.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        host, _, port = address.rpartition(":")
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    def close(self):
        self._sock.close()

    def is_open(self):
        """Returns whether a request may be sent.

        Raises:
            FramingError: There are bytes that no request has asked for.
        """
        try:
            data = self._sock.recv(1)
        except BlockingIOError:
            data = None
        except OSError:
            data = b""
        if data or self._buffer:
            raise FramingError("bytes without a request")
        return data is None

    async def send(self, request, pause_s=0.0):
        """Sends a request; with ``pause_s``, in two pieces with this pause between."""
        loop = asyncio.get_running_loop()
        if pause_s:
            half = len(request) // 2
            await loop.sock_sendall(self._sock, request[:half])
            await asyncio.sleep(pause_s)
            request = request[half:]
        await loop.sock_sendall(self._sock, request)

    async def read_answer(self, pace, followed=False):
        """Returns the answer to the oldest request that was sent.

        Args:
            pace: How it is read.
            followed: Whether another request was sent, whose answer may follow.

        Raises:
            ConnClosed: The connection ended before the answer did.
            FramingError: The bytes are no answer.
        """
        self._pace, self._rested, self.received = pace, False, len(self._buffer)
        lines = (await self._read_until(b"\r\n\r\n", MAX_HEAD_BYTES)).decode("latin-1")
        first, *fields = lines.split("\r\n")
        match = STATUS_LINE.fullmatch(first)
        if match is None:
            raise FramingError(f"status line {first!r}")
        headers = {}
        for field in fields:
            name, colon, value = field.partition(":")
            if not colon or name.lower() in headers and name.lower() != "set-cookie":
                raise FramingError(f"field {field!r}")
            headers[name.lower()] = value.strip()
        body = await self._read_body(headers)
        if self._buffer and not followed:
            raise FramingError(f"{bytes(self._buffer[:80])!r} after the answer")
        return Answer(int(match[1]), headers, body)

    async def _read_body(self, headers):
        length = headers.get("content-length")
        chunked = headers.get("transfer-encoding") == "chunked"
        if chunked == (length is not None):
            raise FramingError("body has not exactly one of length and chunks")
        if not chunked:
            return await self._read_exactly(int(length))
        body = bytearray()
        while True:
            size = await self._read_until(b"\r\n", 16)
            if CHUNK_SIZE.fullmatch(size) is None:
                raise FramingError(f"chunk size {size!r}")
            body += await self._read_exactly(int(size, 16))
            if await self._read_exactly(2) != b"\r\n":
                raise FramingError("no line end after a chunk")
            if int(size, 16) == 0:
                return bytes(body)

    async def _read_until(self, end, limit):
        while (at := self._buffer.find(end)) < 0:
            if len(self._buffer) > limit:
                raise FramingError(f"no {end!r} in {bytes(self._buffer[:80])!r}")
            await self._read_some()
        data = bytes(self._buffer[:at])
        del self._buffer[: at + len(end)]
        return data

    async def _read_exactly(self, size):
        while len(self._buffer) < size:
            await self._read_some()
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    async def _read_some(self):
        pace, size = self._pace, FIRST_READ_BYTES
        # The first read does not wait, so that it tells when the host closed a
        # connection without an answer.
        if self.received:
            await asyncio.sleep(pace.pause_s)
            size = pace.read_bytes
            if not self._rested and self.received >= pace.rest_after:
                self._rested = True
                await asyncio.sleep(pace.rest_s)
        try:
            data = await asyncio.get_running_loop().sock_recv(self._sock, size)
        except OSError as exc:
            raise ConnClosed(type(exc).__name__) from exc
        if not data:
            raise ConnClosed("end of data")
        self._buffer += data
        self.received += len(data)
