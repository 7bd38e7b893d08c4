"""A caller that uses a connection again as long as it looks open."""

import asyncio
import contextlib
import socket

from tests.platform.raw_caller import read_head, request_bytes

# Longest wait for an answer, in seconds.
ANSWER_LIMIT_S = 8.0


class ClosedBefore(Exception):
    """The host has closed the connection before it was used again."""


class KeptCaller:
    """Keeps one connection for several requests.

    Args:
        address: Address ``ip:port`` of a host.
    """

    def __init__(self, address):
        self.address = address
        self._sock = socket.socket()
        self._sock.setblocking(False)

    async def __aenter__(self):
        host, _, port = self.address.rpartition(":")
        await asyncio.get_running_loop().sock_connect(self._sock, (host, int(port)))
        return self

    async def __aexit__(self, *exc_info):
        self._sock.close()

    async def send(self, data):
        """Sends bytes, unless the connection has been closed."""
        # What had been received before can still be read then.
        with contextlib.suppress(ConnectionError):
            await asyncio.get_running_loop().sock_sendall(self._sock, data)

    def send_now(self, data):
        """Sends bytes before the event loop runs again."""
        assert self._sock.send(data) == len(data)

    @property
    def is_closed(self):
        """Whether the host has closed the connection, or sent bytes unasked."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except ConnectionError:
            pass
        return True

    async def exchange(self, headers, path, body=b"", cut=None, pause_s=0.0):
        """Returns the status of the answer; ``None`` if it is not there or not whole.

        ``pause_s`` lies between the bytes of the request before and after ``cut``.

        Raises:
            ClosedBefore: The connection was closed before anything was sent.
        """
        sent = request_bytes(headers, path, "POST" if body else "GET", body=body)
        if self.is_closed:
            raise ClosedBefore
        await self.send(sent[:cut])
        if cut is not None:
            await asyncio.sleep(pause_s)
            await self.send(sent[cut:])
        return await self.read_status()

    async def read_status(self):
        """Reads one answer and returns its status; ``None`` if it is not whole."""
        status, _ = await self.read_head()
        return status

    async def read_head(self):
        """Reads one answer; returns its status and the headers in lower case.

        They are ``None`` if it is not whole.
        """
        received = b""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                while not _is_whole(received):
                    # One byte each, so that nothing of the next answer is read.
                    piece = await loop.sock_recv(self._sock, 1)
                    if not piece:
                        break
                    received += piece
        if not _is_whole(received):
            return None, None
        answer = asyncio.StreamReader()
        answer.feed_data(received)
        return await read_head(answer)


def _is_whole(received):
    head, end, body = received.partition(b"\r\n\r\n")
    if not end:
        return False
    if b"transfer-encoding: chunked" in head.lower():
        return body.endswith(b"\r\n0\r\n\r\n")
    lengths = [
        int(line.partition(b":")[2])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    return lengths == [len(body)]
