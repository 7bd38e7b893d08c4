"""The HTTP servers for callers and for the balancer's readiness checks."""

import asyncio
import contextlib
import time
from collections.abc import Callable

from aiohttp import web
from loguru import logger
from mode import Service

from magnoliaroad.caller_connection import cut_off_answer
from magnoliaroad.caller_left import caller_left
from magnoliaroad.caller_listener import CallerListener
from magnoliaroad.caller_load.limits import CallerLimits
from magnoliaroad.caller_load.open_connections import OpenConnections
from magnoliaroad.caller_load.shedding import held_bytes, shed
from magnoliaroad.caller_load.status_server import (
    MAX_STATUS_CONNECTIONS,
    status_server,
)
from magnoliaroad.connection_drain import ConnectionDrain
from magnoliaroad.drain_limit import DrainLimit
from magnoliaroad.expectation import expects_continue, send_continue
from magnoliaroad.in_flight import InFlightRequests
from magnoliaroad.listening import open_when_free
from magnoliaroad.processor_time import measured
from magnoliaroad.refusal import Refusal, Refused
from magnoliaroad.relay.admission import admit
from magnoliaroad.relay.body import check_length, read_body
from magnoliaroad.relay.call import RelayCall
from magnoliaroad.relay.cut_reason import cut_reason
from magnoliaroad.relay.dialect import BadCall
from magnoliaroad.relay.metrics import IN_FLIGHT, LATENCY, REFUSALS, REQUESTS
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.refusals import bad_call, host_failed
from magnoliaroad.relay.route_durations import RouteDurations
from magnoliaroad.relay.run import RelayRun
from magnoliaroad.stall_watch import StallTimer, StallWatch
from magnoliaroad.unsent_bytes import limit_unsent

# Idle time after which a caller's connection is closed, in seconds; longer than
# the time for which operators let callers keep connections.
KEEPALIVE_S = 75.0
# Longest time for which the rest of a refused body is discarded before its connection
# is closed, in seconds; the default of nginx's ``lingering_timeout``.
LINGER_S = 5.0
# Largest request line and largest header field, in bytes.
MAX_HEAD_BYTES = 65_536
# Part of a body that is held while its handler does not read it, in bytes.
BODY_BUFFER_BYTES = 8192
# Longest wait for handlers that still run when a server is closed, in seconds. 0 would
# stand for no limit.
SHUTDOWN_TIMEOUT_S = 0.1
# Longest path in a log line; longer ones are cut.
MAX_LOGGED_PATH_CHARS = 80


class RelayServer(Service):
    """Relays callers' requests until it is drained.

    Args:
        parts: Components of the host.
        ready: Returns whether the host can serve requests.
        limits: Bounds what connections hold together.

    Attributes:
        draining: Whether readiness checks are answered with 503.
        in_flight: Requests that are being answered.
    """

    def __init__(
        self, parts: RelayParts, ready: Callable[[], bool], limits: CallerLimits
    ) -> None:
        super().__init__()
        self.parts = parts
        self._limits = limits
        self.draining = False
        self.in_flight = InFlightRequests()
        self._ready = ready
        self._drain_limit = DrainLimit()
        self._durations = RouteDurations()
        self._runs: set[RelayRun] = set()
        self._stall_timer = StallTimer()
        self._runners: list[web.ServerRunner] = []
        self._caller_listener: CallerListener | None = None
        self._server: web.Server | None = None

    async def on_start(self) -> None:
        """Starts listening."""
        listen = self.parts.cfg.listen
        self._server = web.Server(
            self._handle,
            keepalive_timeout=KEEPALIVE_S,
            lingering_time=LINGER_S,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            read_bufsize=BODY_BUFFER_BYTES,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        self._caller_listener = await self._listen(
            self._server,
            listen.callers,
            OpenConnections("callers", self._limits.max_connections),
        )
        await self._listen(
            status_server(self._handle_readiness),
            listen.ready,
            OpenConnections("ready", MAX_STATUS_CONNECTIONS),
        )

    async def _listen(
        self, server: web.Server, address: str, connections: OpenConnections
    ) -> CallerListener:
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        self._runners.append(runner)

        async def start_listener() -> CallerListener:
            listener = CallerListener(
                runner, host, int(port), self._limits, connections
            )
            await listener.start()
            return listener

        return await open_when_free(start_listener, address)

    def held_bytes(self) -> int:
        """Returns what connections hold of requests and answers that are under way."""
        return held_bytes(self._server)

    def shed(self, size: int) -> int:
        """Gives up the connections that hold most, until ``size`` bytes are free.

        Returns:
            How many bytes they held.
        """
        return shed(self._server, size)

    async def drain(self) -> None:
        """Fails readiness checks, refuses connections, ends requests in flight."""
        cfg = self.parts.cfg.drain
        began = time.monotonic()
        self.draining = True
        self._drain_limit.begin(began, cfg.notice_s, cfg.limit_s)
        for run in self._runs:
            run.end_by(self._drain_limit.ends_at)
        self.parts.waiting.stop()
        await asyncio.sleep(cfg.notice_s)
        if self._caller_listener is not None:
            await self._caller_listener.stop()
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
        request_id = self.parts.dialect.request_id(req.headers)
        if req.transport is not None:
            limit_unsent(req.transport, self.in_flight.count)
        with StallWatch(self._stall_timer, req, request_id) as watch:
            resp = await measured("request", self._respond(req, request_id, watch))
            if not resp.prepared:
                await _write(req, resp)
            return resp

    async def _respond(
        self, req: web.BaseRequest, request_id: str, watch: StallWatch
    ) -> web.StreamResponse:
        began = time.monotonic()
        kind = "none"
        run = None
        log_fields: dict[str, object] = {}
        with self.in_flight, self.parts.memory.hold() as held:
            IN_FLIGHT.set({}, self.in_flight.count)
            try:
                # Counted as it arrives: a caller may send none of it for long.
                held.check(req.content_length or 0)
                if expects_continue(req):
                    self._check_head(req)
                    await send_continue(req)
                body = await read_body(req, held)
                call = self.parts.dialect.read_call(
                    req.method, req.raw_path, req.headers, body
                )
                log_fields |= _call_log_fields(call)
                admitted = admit(self.parts.plans, call)
                kind = admitted.route.kind.value
                log_fields |= {"route": admitted.route.name, "team": admitted.team_name}
                run = RelayRun(
                    self.parts,
                    admitted,
                    req,
                    held,
                    began,
                    self._should_close,
                    self._drain_limit,
                    self._durations,
                )
                log_fields["fingerprint"] = run.fingerprint
                self._runs.add(run)
                resp = await run.run()
            except BadCall as exc:
                resp = self._refuse(request_id, bad_call(str(exc)), began, log_fields)
            except Refused as exc:
                if run is not None and run.resp is not None:
                    return await self._end_begun(req, request_id, run.resp, exc)
                log_fields |= exc.inputs
                resp = self._refuse(request_id, exc.refusal, began, log_fields)
            except (Exception, asyncio.CancelledError) as exc:
                sent = run is not None and run.sent
                lost = isinstance(exc, ConnectionError | asyncio.CancelledError)
                if lost and caller_left(req):
                    if not watch.stalled:
                        self._log_lost_caller(request_id, sent, began)
                    raise
                logger.bind(request=request_id, path=req.path).opt(exception=exc).error(
                    "request failed"
                )
                if run is not None and run.resp is not None:
                    return await self._end_begun(req, request_id, run.resp, exc)
                resp = self._refuse(request_id, host_failed(sent), began, log_fields)
            finally:
                self._runs.discard(run)
        took_s = time.monotonic() - began
        if run is not None and run.resp is not None:
            self._durations.record(run.route.name, took_s)
        REQUESTS.inc({"kind": kind, "status": str(resp.status)})
        LATENCY.observe({"kind": kind}, took_s)
        return resp

    def _check_head(self, req: web.BaseRequest) -> None:
        """Raises ``BadCall`` or ``Refused`` if the body is of no use."""
        check_length(req)
        dialect = self.parts.dialect
        admit(
            self.parts.plans,
            dialect.read_call(req.method, req.raw_path, req.headers, b""),
        )

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

    def _log_lost_caller(self, request_id: str, sent: bool, began: float) -> None:
        took_s = round(time.monotonic() - began, 4)
        log = logger.bind(request=request_id, sent=sent, took_s=took_s)
        if self.should_stop:
            log.bind(reason="host stops").warning("answer cut off")
        else:
            log.info("caller left")

    async def _end_begun(
        self,
        req: web.BaseRequest,
        request_id: str,
        resp: web.StreamResponse,
        exc: BaseException,
    ) -> web.StreamResponse:
        """Ends an answer that had begun, with its connection if it is incomplete."""
        if resp.body_length:
            return resp
        logger.bind(
            request=request_id,
            reason=cut_reason(exc),
            cause=repr(exc.__cause__ or exc),
        ).warning("answer cut off")
        await cut_off_answer(req)
        return resp


async def _write(req: web.BaseRequest, resp: web.StreamResponse) -> None:
    unread = not req.content.is_eof()
    if unread:
        resp.force_close()
    with contextlib.suppress(ConnectionError):
        await resp.prepare(req)
        await resp.write_eof()
    if unread and req.transport is not None:
        # The caller sees the end at once, and can read the answer before the connection
        # is closed: closing it with unread bytes would reset it.
        with contextlib.suppress(OSError):
            # Fails if the caller has reset the connection.
            req.transport.write_eof()


def _call_log_fields(call: RelayCall) -> dict[str, object]:
    """Returns the fields that describe a call in log lines."""
    return {
        "path": call.path.partition("?")[0][:MAX_LOGGED_PATH_CHARS],
        "program": call.program,
        "previous_turn": call.previous_turn,
    }
