"""Serves metrics over HTTP."""

import aioprometheus
from aiohttp import web
from aioprometheus.renderer import render
from mode import Service


class MetricsServer(Service):
    """Answers every request with all metrics of the process.

    Args:
        address: Address ``ip:port`` to listen on.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self._address = address
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Starts listening."""
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def on_stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        accepts = req.headers.getall("Accept", [])
        content, headers = render(aioprometheus.REGISTRY, accepts)
        return web.Response(body=content, headers=headers)
