"""Detection of the connections that may be closed during a drain."""

import asyncio

from aiohttp import web

from magnoliaroad.idle import awaits_request


async def test_a_connection_whose_request_was_just_read_is_not_idle():
    answered = asyncio.Event()

    async def handle(req):
        await answered.wait()
        return web.Response(text="whole")

    server = web.Server(handle, access_log=None)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    reader, writer = await asyncio.open_connection(host, port)
    while not server.connections or not awaits_request(server.connections[0]):
        await asyncio.sleep(0)
    conn = server.connections[0]
    # This call parses the headers; the handler is called in a later loop iteration.
    conn.data_received(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    assert not awaits_request(conn)
    await asyncio.sleep(0.01)
    assert not awaits_request(conn)
    answered.set()
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    await asyncio.sleep(0.01)
    assert awaits_request(conn)
    writer.close()
    await runner.cleanup()
