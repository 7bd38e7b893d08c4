"""The end of listening, with connections that the server has not accepted yet."""

import asyncio
import socket

from aiohttp import web

from magnoliaroad.caller_listener import CallerListener


async def test_connections_in_the_kernels_queue_are_served_when_listening_ends():
    """LOST: they were reset when the listening socket was closed."""

    async def answer(req):
        return web.Response(text="whole")

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    listener = CallerListener(runner, "127.0.0.1", 0)
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
