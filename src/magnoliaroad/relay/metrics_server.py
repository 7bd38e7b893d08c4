"""Serves metrics over HTTP."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

import aioprometheus
from aiohttp import web
from aioprometheus.renderer import render
from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.caller_listener import CallerListener
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.caller_load.open_connections import OpenConnections
from magnoliaroad.caller_load.status_server import (
    MAX_STATUS_CONNECTIONS,
    status_server,
)
from magnoliaroad.listening import open_when_free


class MetricsServer(Service):
    """Answers requests with all metrics of the process, unless a page is asked for.

    The host does without metrics while their address cannot be had.

    Args:
        address: Address ``ip:port`` to listen on.
        limits: Bounds what connections hold together.
        pages: What answers requests for other pages, by path.
    """

    def __init__(
        self,
        address: str,
        limits: CallerLimits,
        pages: Mapping[
            str, Callable[[web.BaseRequest], web.Response]
        ] = MappingProxyType({}),
    ) -> None:
        super().__init__()
        self._pages = pages
        self._address = address
        self._limits = limits
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Prepares the server."""
        self._runner = web.ServerRunner(status_server(self._answer))
        await self._runner.setup()

    async def on_stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @background_task
    async def _listen(self) -> None:
        try:
            await open_when_free(self._open, self._address)
        except OSError as exc:
            logger.bind(address=self._address, reason=str(exc)).error(
                "metrics not served"
            )

    async def _open(self) -> None:
        host, _, port = self._address.rpartition(":")
        assert self._runner is not None
        connections = OpenConnections("metrics", MAX_STATUS_CONNECTIONS)
        listener = CallerListener(
            self._runner, host, int(port), self._limits, connections
        )
        await listener.start()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        page = self._pages.get(req.path)
        if page is not None:
            return page(req)
        accepts = req.headers.getall("Accept", [])
        content, headers = render(aioprometheus.REGISTRY, accepts)
        return web.Response(body=content, headers=headers)
