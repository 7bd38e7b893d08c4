"""A caller on a raw socket that reads slowly into a small receive buffer."""

import asyncio
import socket

from tests.platform.deployment import KEY

RECEIVE_BUFFER_BYTES = 2048
BITE_BYTES = 512


class SlowCaller:
    """Sends requests on one connection and reads the answers in small bites.

    Args:
        address: Address ``ip:port`` of a host.
        pause_s: Pause before each bite, in seconds.
    """

    def __init__(self, address, pause_s=0.02):
        self.address = address
        self.pause_s = pause_s
        self._sock = socket.socket()
        # The size has to be set before connecting, as it limits the window.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.setblocking(False)

    async def __aenter__(self):
        host, _, port = self.address.rpartition(":")
        await asyncio.get_running_loop().sock_connect(self._sock, (host, int(port)))
        return self

    async def __aexit__(self, *exc_info):
        self._sock.close()

    async def send(self, path, request_id, key=KEY):
        """Sends a request without a body."""
        lines = [
            f"GET {path} HTTP/1.1",
            "Host: arcade.example",
            f"Authorization: Bearer {key}",
            f"Magnoliaroad-Request-Id: {request_id}",
            "Magnoliaroad-Deadline-Ms: 2000",
        ]
        data = "\r\n".join([*lines, "", ""]).encode()
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    async def read(self):
        """Returns all bytes until the host closes the connection."""
        received = bytearray()
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(self._sock, BITE_BYTES):
            received += data
            await asyncio.sleep(self.pause_s)
        return bytes(received)
