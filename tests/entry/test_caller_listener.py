"""The end of listening, with connections that the server has not accepted yet."""

import asyncio
import socket
import threading

from aiohttp import web

from tests.entry.listeners import caller_listener

STOPS = 20


async def test_connections_in_the_kernels_queue_are_served_when_listening_ends():
    """LOST: they were reset when the listening socket was closed."""

    async def answer(req):
        return web.Response(text="whole")

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    listener = caller_listener(runner)
    await listener.start()
    address = listener.socket.getsockname()
    # Blocking calls: the loop does not accept the connections meanwhile.
    callers = [socket.create_connection(address) for _ in range(3)]
    for caller in callers:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await listener.stop()
    loop = asyncio.get_running_loop()
    for caller in callers:
        caller.setblocking(False)
        async with asyncio.timeout(5.0):
            assert (await loop.sock_recv(caller, 1000)).startswith(b"HTTP/1.1 200")
        caller.close()
    await runner.cleanup()


def connect_until(stop, address, ends):
    """Opens connections one after the other; records whether each was answered."""
    while not stop.is_set():
        with socket.socket() as sock:
            sock.settimeout(0.3)
            try:
                sock.connect(address)
            except OSError:
                return
            sock.settimeout(3.0)
            try:
                sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                ends.append(sock.recv(1000)[:12])
            except OSError as exc:
                ends.append(repr(exc))


async def test_no_connection_is_opened_that_nobody_accepts():
    """LOST: some came into the queue between the last accept and the close."""
    ends = []

    async def answer(req):
        return web.Response(text="whole")

    for _ in range(STOPS):
        runner = web.ServerRunner(web.Server(answer, access_log=None))
        await runner.setup()
        listener = caller_listener(runner)
        await listener.start()
        stop = threading.Event()
        address = listener.socket.getsockname()
        calls = [
            asyncio.create_task(asyncio.to_thread(connect_until, stop, address, ends))
            for _ in range(6)
        ]
        await asyncio.sleep(0.05)
        await listener.stop()
        stop.set()
        await asyncio.gather(*calls)
        await runner.cleanup()
    assert set(ends) == {b"HTTP/1.1 200"}
