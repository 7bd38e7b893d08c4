"""The HTTP server for callers."""

import asyncio
import time

import aioprometheus
from aiohttp import web
from aioprometheus.renderer import render
from loguru import logger
from mode import Service

from magnoliaroad.caller_listener import CallerListener
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.caller_load.open_connections import OpenConnections
from magnoliaroad.caller_load.shedding import held_bytes, shed
from magnoliaroad.connection_drain import ConnectionDrain
from magnoliaroad.entry.body import ignore_expectation
from magnoliaroad.entry.chat import ChatHandler
from magnoliaroad.entry.listen import ListenSettings
from magnoliaroad.entry.middleware import note_begun, request_middleware
from magnoliaroad.entry.plain import PlainHandler
from magnoliaroad.entry.program import ProgramHandler
from magnoliaroad.entry.services import EntryServices
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.entry.withdrawal_watch import WithdrawalWatch
from magnoliaroad.in_flight import InFlightRequests

# Part of a body that is held while its handler does not read it, in bytes.
BODY_BUFFER_BYTES = 8192


class EntryServer(Service):
    """Serves callers and shuts down gracefully after ``drain`` is called.

    Args:
        listen: Address and port to listen on.
        cfg: Limits on requests and on the shutdown.
        services: Services that requests use.
        limits: Bounds what connections hold together.

    Attributes:
        port: Port that the server listens on, once started.
        draining: Whether the host reports itself as not ready, so that the load
            balancer sends no new requests.
        in_flight: Requests that are being answered.
    """

    def __init__(
        self,
        listen: ListenSettings,
        cfg: EntrySettings,
        services: EntryServices,
        limits: CallerLimits,
    ) -> None:
        super().__init__()
        self._limits = limits
        self.listen = listen
        self.cfg = cfg
        self.services = services
        self.port = listen.http_port
        self.draining = False
        self.in_flight = InFlightRequests()
        self._withdrawals = WithdrawalWatch(services.keys)
        self._runner: web.AppRunner | None = None
        self._listener: CallerListener | None = None

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(client_max_size=self.cfg.max_body_bytes)
        chat = ChatHandler(self.cfg, self.services, self._withdrawals)
        plain = PlainHandler(self.cfg, self.services, self._withdrawals, self.in_flight)
        observe = request_middleware(self.in_flight)
        router = app.router
        expect = {"expect_handler": ignore_expectation}
        router.add_post("/v1/chat/completions", chat.handle, name="chat", **expect)
        programs = ProgramHandler(self.services)
        router.add_post("/v1/programs", programs.start, name="programs")
        path = "/v1/programs/{program:.+}"
        router.add_get(path, programs.show, name="look")
        router.add_delete(path, programs.end, name="program")
        path = "/services/{route}/{path:.*}"
        router.add_route("*", path, plain.handle, name="service", **expect)
        router.add_get("/health", self._health)
        router.add_get("/ready", self._ready)
        router.add_get("/metrics", self._metrics)
        app.middlewares.append(observe)
        app.on_response_prepare.extend((self._announce_close, note_begun))
        return app

    async def on_start(self) -> None:
        """Starts listening."""
        self._runner = web.AppRunner(
            self.app(),
            access_log=None,
            handler_cancellation=True,
            read_bufsize=BODY_BUFFER_BYTES,
        )
        await self._runner.setup()
        self._listener = CallerListener(
            self._runner,
            self.listen.address,
            self.listen.http_port,
            self._limits,
            OpenConnections("callers", self._limits.max_connections),
        )
        await self._listener.start()
        self.port = self._listener.socket.getsockname()[1]

    def held_bytes(self) -> int:
        """Returns what connections hold of requests and answers that are under way."""
        return 0 if self._runner is None else held_bytes(self._runner.server)

    def shed(self, size: int) -> int:
        """Gives up the connections that hold most, until ``size`` bytes are free.

        Returns:
            How many bytes they held.
        """
        return 0 if self._runner is None else shed(self._runner.server, size)

    async def drain(self) -> None:
        """Reports not ready and waits until requests and connections have ended.

        Waits at most ``drain_notice_s`` plus ``drain_limit_s``.
        """
        self.draining = True
        notice_s, limit_s = self.cfg.drain_notice_s, self.cfg.drain_limit_s
        self.services.drain.begin(time.monotonic(), notice_s, notice_s + limit_s)
        await asyncio.sleep(notice_s)
        until = time.monotonic() + self.cfg.drain_limit_s
        # Health checks are answered while requests are in flight.
        await self.in_flight.wait_idle(self.cfg.drain_limit_s)
        if self._runner is None or self._listener is None:
            return
        await self._listener.stop()
        if not await ConnectionDrain(self._runner.server, self.in_flight).run(until):
            logger.bind(in_flight=self.in_flight.count).warning(
                "requests cut off at shutdown"
            )

    async def on_stop(self) -> None:
        """Stops listening and closes all connections."""
        self._withdrawals.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _announce_close(self, req: web.Request, resp: web.StreamResponse) -> None:
        # A caller that was not asked for its body may go on with another request.
        if self.draining or not req.content.is_eof():
            resp.force_close()
            resp.headers["Connection"] = "close"

    async def _health(self, req: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _ready(self, req: web.Request) -> web.Response:
        revision = self.services.config.current.revision
        status = 503 if self.draining or revision == 0 else 200
        body = {"draining": self.draining, "revision": revision}
        return web.json_response(body, status=status)

    async def _metrics(self, req: web.Request) -> web.Response:
        accepts = req.headers.getall("Accept", [])
        content, headers = render(aioprometheus.REGISTRY, accepts)
        return web.Response(body=content, headers=headers)
