"""Requests that a host gives up do not arrive at their target later (DRAIN).

Guards against requests that a network partition holds up: the host told the caller that
it failed, and after the partition the kernel delivered it to a target that leaves.
"""

import asyncio
import contextlib
import socket

import pytest

from tests.platform.deployment import Deployment
from tests.platform.target_standin import TargetStandin

BUFFER_BYTES = 4096
BODY = b"x" * 900_000


class UnreadingTarget(TargetStandin):
    """Accepts connections and reads nothing, as if its packets were held up."""

    def __init__(self):
        super().__init__("i-1", "app")
        self.accepted = []
        self._accepting = None

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        sock.setblocking(False)
        self._sock = sock
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        self._accepting = asyncio.create_task(self._accept())
        return self

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            sock.setblocking(False)
            self.accepted.append(sock)

    async def stop(self):
        self._accepting.cancel()
        for sock in (self._sock, *self.accepted):
            sock.close()

    async def read_all(self):
        """Returns what arrives on the first connection until it ends."""
        received, loop = bytearray(), asyncio.get_running_loop()
        with contextlib.suppress(ConnectionResetError):
            while data := await loop.sock_recv(self.accepted[0], 65_536):
                received += data
        return received


@pytest.mark.parametrize("path", ["/pay/x", "/safe/x"])
async def test_a_request_that_was_given_up_does_not_arrive_later(tmp_path, path):
    target = UnreadingTarget()
    async with Deployment(tmp_path, target) as deployment:
        status, _, _ = await deployment.call(
            path, "POST", BODY, Magnoliaroad_Deadline_Ms="400"
        )
        assert status in (502, 503, 504)
        async with asyncio.timeout(10.0):
            received = await target.read_all()
    assert received.startswith(b"POST " + path.encode())
    assert len(received) < len(BODY)
