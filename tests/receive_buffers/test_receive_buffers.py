"""What the kernel holds of connections that a process does not read."""

import contextlib
import fcntl
import socket
import struct
import termios

import pytest

from magnoliaroad.receive_buffers import (
    FULL_BYTES,
    LEAST_BYTES,
    ReceiveBuffer,
    ReceivePool,
    limit_receive_buffer,
)

WRITTEN = 1_000_000


class Transport:
    """A transport that knows its socket."""

    def __init__(self, sock):
        self.sock = sock

    def get_extra_info(self, name):
        return self.sock


@pytest.fixture
def streams():
    """Yields a connected socket and the one that was accepted with a small buffer."""
    with socket.socket() as listening, socket.socket() as caller:
        limit_receive_buffer(listening, LEAST_BYTES)
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        caller.connect(listening.getsockname())
        caller.setblocking(False)
        accepted, _ = listening.accept()
        with accepted:
            yield caller, accepted


def write_all(caller):
    with contextlib.suppress(BlockingIOError):
        for _ in range(WRITTEN // 1000):
            caller.send(b"x" * 1000)


def unread(sock):
    queued = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
    return struct.unpack("i", queued)[0]


def test_an_accepted_connection_has_the_buffer_of_the_listening_socket(streams):
    caller, accepted = streams
    write_all(caller)
    assert 0 < unread(accepted) <= LEAST_BYTES


def test_an_enlarged_buffer_takes_more(streams):
    caller, accepted = streams
    pool = ReceivePool(FULL_BYTES)
    buffer = ReceiveBuffer(pool)
    buffer.enlarge(Transport(accepted))
    buffer.enlarge(Transport(accepted))
    assert pool.granted_bytes == FULL_BYTES
    accepted.setblocking(False)
    for _ in range(20):
        write_all(caller)
        with contextlib.suppress(BlockingIOError):
            accepted.recv(1000)
    assert LEAST_BYTES < unread(accepted) <= FULL_BYTES
    buffer.close()
    assert pool.granted_bytes == 0


def test_buffers_are_enlarged_while_the_pool_has_room(streams):
    pool = ReceivePool(2 * FULL_BYTES)
    buffers = [ReceiveBuffer(pool) for _ in range(3)]
    for buffer in buffers:
        buffer.enlarge(Transport(streams[1]))
    assert pool.granted_bytes == 2 * FULL_BYTES
    buffers[2].close()
    assert pool.granted_bytes == 2 * FULL_BYTES
    for buffer in buffers:
        buffer.close()
    assert pool.granted_bytes == 0
