"""Serves an aiohttp application of a stand-in."""

import contextlib
from collections.abc import AsyncIterator

from aiohttp import web


@contextlib.asynccontextmanager
async def serve_app(
    app: web.Application, address: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """Serves ``app`` until the block ends; yields its base URL.

    Port 0 selects a free port.
    """
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    try:
        await web.TCPSite(runner, address, port).start()
        yield f"http://{address}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()
