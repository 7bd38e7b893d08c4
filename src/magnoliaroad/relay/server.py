"""The HTTP servers for callers and for the balancer's readiness checks."""

import asyncio
import time

from aiohttp import web
from loguru import logger
from mode import Service

from magnoliaroad.connection_drain import ConnectionDrain
from magnoliaroad.in_flight import InFlightRequests
from magnoliaroad.refusal import Refusal, Refused
from magnoliaroad.relay.admission import admit
from magnoliaroad.relay.call import RelayCall
from magnoliaroad.relay.dialect import BadCall
from magnoliaroad.relay.metrics import IN_FLIGHT, LATENCY, REFUSALS, REQUESTS
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.refusals import TARGET_FAILED, bad_call
from magnoliaroad.relay.run import RelayRun

# Idle time after which a caller's connection is closed, in seconds; longer than
# the time for which operators let callers keep connections.
KEEPALIVE_S = 75.0
# Largest body of a request, in bytes; bodies are read before the configuration's own
# limit is known.
MAX_BODY_BYTES = 16_777_216
# Largest request line and largest header field, in bytes.
MAX_HEAD_BYTES = 65_536
BACKLOG = 1024
# Longest path in a log line; longer ones are cut.
MAX_LOGGED_PATH_CHARS = 80


class RelayServer(Service):
    """Relays callers' requests until it is drained.

    Args:
        parts: Components of the host.
        ready: Returns whether the host can serve requests.

    Attributes:
        draining: Whether readiness checks are answered with 503.
        in_flight: Requests that are being answered.
    """

    def __init__(self, parts: RelayParts, ready) -> None:
        super().__init__()
        self.parts = parts
        self.draining = False
        self.in_flight = InFlightRequests()
        self._ready = ready
        self._runners: list[web.ServerRunner] = []
        self._caller_site: web.TCPSite | None = None
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
        self._caller_site = await self._listen(self._server, listen.callers)
        await self._listen(
            web.Server(self._handle_readiness, access_log=None), listen.ready
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
        """Fails readiness checks, refuses connections, ends requests in flight."""
        cfg = self.parts.cfg.drain
        began = time.monotonic()
        self.draining = True
        await asyncio.sleep(cfg.notice_s)
        if self._caller_site is not None:
            await self._caller_site.stop()
        drain = ConnectionDrain(self._server, self.in_flight)
        if not await drain.run(began + cfg.limit_s):
            logger.bind(in_flight=self.in_flight.count).warning(
                "requests cut off at shutdown"
            )

    async def on_stop(self) -> None:
        """Stops listening."""
        for runner in self._runners:
            await runner.cleanup()

    async def _handle_readiness(self, req: web.BaseRequest) -> web.Response:
        ready = not self.draining and self._ready()
        return web.Response(status=200 if ready else 503)

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        began = time.monotonic()
        kind = "none"
        run = None
        log_fields: dict[str, object] = {}
        request_id = self.parts.dialect.request_id(req.headers)
        with self.in_flight:
            IN_FLIGHT.set({}, self.in_flight.count)
            try:
                body = await req.read()
                call = self.parts.dialect.read_call(
                    req.method, req.raw_path, req.headers, body
                )
                log_fields |= _call_log_fields(call)
                admitted = admit(self.parts.plans, call)
                kind = admitted.route.kind.value
                log_fields |= {"route": admitted.route.name, "team": admitted.team_name}
                run = RelayRun(self.parts, admitted, req, began, self._should_close())
                log_fields["fingerprint"] = run.fingerprint
                resp = await run.run()
            except BadCall as exc:
                resp = self._refuse(request_id, bad_call(str(exc)), began, log_fields)
            except Refused as exc:
                if run is not None and run.resp is not None:
                    self._abort(req, request_id, exc)
                    return run.resp
                log_fields |= exc.inputs
                resp = self._refuse(request_id, exc.refusal, began, log_fields)
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
                resp = self._refuse(request_id, TARGET_FAILED, began, log_fields)
        took_s = time.monotonic() - began
        REQUESTS.inc({"kind": kind, "status": str(resp.status)})
        LATENCY.observe({"kind": kind}, took_s)
        return resp

    def _refuse(
        self,
        request_id: str,
        refusal: Refusal,
        began: float,
        log_fields: dict[str, object],
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
            **log_fields,
        ).info("refused")
        headers = self.parts.dialect.refusal_headers(request_id, refusal)
        resp = web.Response(
            status=refusal.status, headers=headers, text=refusal.message + "\n"
        )
        if self._should_close():
            resp.force_close()
        return resp

    def _should_close(self) -> bool:
        """Returns whether callers are moved to other hosts by closed connections."""
        return self.draining or not self._ready()

    def _abort(self, req: web.BaseRequest, request_id: str, exc: BaseException) -> None:
        """Aborts the connection, so that the caller sees the answer as incomplete."""
        reason = repr(exc.__cause__ or exc)
        logger.bind(request=request_id, reason=reason).warning("answer cut off")
        if req.transport is not None:
            req.transport.abort()


def _make_request(message, payload, protocol, writer, task) -> web.BaseRequest:
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES
    )


def _call_log_fields(call: RelayCall) -> dict[str, object]:
    """Returns the fields that describe a call in log lines."""
    return {
        "path": call.path.partition("?")[0][:MAX_LOGGED_PATH_CHARS],
        "program": call.program,
        "previous_turn": call.previous_turn,
    }
