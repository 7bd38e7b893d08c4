"""The HTTP servers that callers, the balancer and the metrics reader reach."""

import asyncio
import time

from aiohttp import web
from loguru import logger
from mode import Service

from magnoliaroad.in_hand import InHand
from magnoliaroad.refusal import Refusal, Refused
from magnoliaroad.relay.admission import admit
from magnoliaroad.relay.call import RelayCall
from magnoliaroad.relay.dialect import BadCall
from magnoliaroad.relay.idle import awaits_request
from magnoliaroad.relay.metrics import IN_HAND, LATENCY, REFUSALS, REQUESTS
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.refusals import TARGET_FAILED, bad_call
from magnoliaroad.relay.run import RelayRun

# Idle time after which a caller's connection is closed; above what operators set
# as the time for which callers keep connections.
KEEPALIVE_S = 75.0
# Largest body that is read before the configuration's limit is known.
MAX_BODY_BYTES = 16_777_216
# Largest line and head of a request.
MAX_HEAD_BYTES = 65_536
BACKLOG = 1024
# Most characters of a path that a log line has.
MOST_PATH = 80
# Time that a connection without a request stays open while the host stops, in
# seconds; a caller sends its request within a few round trips of connecting.
FRESH_S = 0.4
# Time between looks for idle connections while the host stops, in seconds.
LOOK_S = 0.05


class RelayServer(Service):
    """Relays callers' requests until it is told to drain.

    Attributes:
        draining: Whether the balancer is turned away.
        in_hand: Requests that are being answered.
    """

    def __init__(self, parts: RelayParts, ready) -> None:
        super().__init__()
        self.parts = parts
        self.draining = False
        self.in_hand = InHand()
        self._ready = ready
        self._busy: set[object] = set()
        self._runners: list[web.ServerRunner] = []
        self._callers: web.TCPSite | None = None
        self._server: web.Server | None = None

    async def on_start(self) -> None:
        """Starts listening."""
        listen = self.parts.cfg.listen
        self._server = web.Server(
            self._handle,
            request_factory=_make_request,
            keepalive_timeout=KEEPALIVE_S,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        self._callers = await self._listen(self._server, listen.callers)
        await self._listen(
            web.Server(self._answer_ready, access_log=None), listen.ready
        )

    async def _listen(self, server: web.Server, address: str) -> web.TCPSite:
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
        await site.start()
        return site

    async def drain(self) -> None:
        """Turns the balancer away, then new connections; ends work in hand."""
        cfg = self.parts.cfg.drain
        began = time.monotonic()
        self.draining = True
        await asyncio.sleep(cfg.notice_s)
        if self._callers is not None:
            await self._callers.stop()
        if not await self._close_idle(began + cfg.limit_s):
            logger.bind(in_hand=self.in_hand.count).warning("work cut off at shutdown")

    async def _close_idle(self, until: float) -> bool:
        """Closes connections as they fall idle; returns whether all have closed.

        A connection that was just accepted gets time to send its request.
        """
        seen: dict[object, float] = {}
        while time.monotonic() < until:
            conns = [c for c in self._server.connections if c.transport is not None]
            if not conns and not self.in_hand.count:
                return True
            now = time.monotonic()
            for conn in conns:
                since = seen.setdefault(conn, now)
                if conn in self._busy or not awaits_request(conn):
                    seen[conn] = now
                elif now - since >= FRESH_S:
                    conn.force_close()
            await asyncio.sleep(LOOK_S)
        return False

    async def on_stop(self) -> None:
        """Stops listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def _answer_ready(self, req: web.BaseRequest) -> web.Response:
        ready = not self.draining and self._ready()
        return web.Response(status=200 if ready else 503)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        self._busy.add(req.protocol)
        try:
            return await self._answer(req)
        finally:
            self._busy.discard(req.protocol)

    async def _answer(self, req: web.BaseRequest) -> web.StreamResponse:
        began = time.monotonic()
        kind = "none"
        run = None
        about: dict[str, object] = {}
        request_id = self.parts.dialect.request_id(req.headers)
        with self.in_hand:
            IN_HAND.set({}, self.in_hand.count)
            try:
                body = await req.read()
                call = self.parts.dialect.read_call(
                    req.method, req.raw_path, req.headers, body
                )
                about |= _describe_call(call)
                admitted = admit(self.parts.plans, call)
                kind = admitted.route.kind.value
                about |= {"route": admitted.route.name, "team": admitted.team_name}
                run = RelayRun(self.parts, admitted, req, began, self._closing())
                about["fingerprint"] = run.fingerprint
                resp = await run.run()
            except BadCall as exc:
                resp = self._refuse(request_id, bad_call(str(exc)), began, about)
            except Refused as exc:
                if run is not None and run.resp is not None:
                    self._abort(req, request_id, exc)
                    return run.resp
                about |= exc.inputs
                resp = self._refuse(request_id, exc.refusal, began, about)
            except (ConnectionError, asyncio.CancelledError):
                logger.bind(
                    request=request_id,
                    sent=run is not None and run.sent,
                    took_s=round(time.monotonic() - began, 4),
                ).info("caller left")
                raise
            except Exception as exc:
                logger.bind(request=request_id, path=req.path).opt(exception=exc).error(
                    "request failed"
                )
                if run is not None and run.resp is not None:
                    self._abort(req, request_id, exc)
                    return run.resp
                resp = self._refuse(request_id, TARGET_FAILED, began, about)
        took_s = time.monotonic() - began
        REQUESTS.inc({"kind": kind, "status": str(resp.status)})
        LATENCY.observe({"kind": kind}, took_s)
        return resp

    def _refuse(
        self,
        request_id: str,
        refusal: Refusal,
        began: float,
        about: dict[str, object],
    ) -> web.Response:
        REFUSALS.inc({"code": refusal.code})
        logger.bind(
            request=request_id,
            code=refusal.code,
            status=refusal.status,
            verdict=refusal.verdict.value,
            retry_after_s=refusal.retry_after_s,
            plan=self.parts.plans.version,
            took_s=round(time.monotonic() - began, 4),
            **about,
        ).info("refused")
        headers = self.parts.dialect.refusal_headers(request_id, refusal)
        resp = web.Response(
            status=refusal.status, headers=headers, text=refusal.message + "\n"
        )
        if self._closing():
            resp.force_close()
        return resp

    def _closing(self) -> bool:
        """Whether callers are to use other hosts from now on."""
        return self.draining or not self._ready()

    def _abort(self, req: web.BaseRequest, request_id: str, exc: BaseException) -> None:
        """Breaks the connection, so that a cut answer does not look whole."""
        reason = repr(exc.__cause__ or exc)
        logger.bind(request=request_id, reason=reason).warning("answer cut off")
        if req.transport is not None:
            req.transport.abort()


def _make_request(message, payload, protocol, writer, task) -> web.BaseRequest:
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES
    )


def _describe_call(call: RelayCall) -> dict[str, object]:
    """Returns what a log line about a call says of it."""
    return {
        "path": call.path.partition("?")[0][:MOST_PATH],
        "program": call.program,
        "previous_turn": call.previous_turn,
    }
