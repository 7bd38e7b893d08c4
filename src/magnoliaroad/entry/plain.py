"""Calls to plain services, forwarded unchanged."""

import asyncio
import contextlib

from aiohttp import web

from magnoliaroad.config import RouteKind
from magnoliaroad.entry.admission import consume_token, find_route, identify, unwrap
from magnoliaroad.entry.body import receive_body
from magnoliaroad.entry.key_leak import refuse_leaked_key
from magnoliaroad.entry.plain_call import IDEMPOTENCY_KEY_HEADER, PlainCall, make_call
from magnoliaroad.entry.plain_reply import PlainReply
from magnoliaroad.entry.plain_run import PlainRun
from magnoliaroad.entry.progress import CancelOnWithdrawal
from magnoliaroad.entry.refused import Refused, bad_request
from magnoliaroad.entry.services import EntryServices
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.entry.withdrawal_watch import WithdrawalWatch
from magnoliaroad.in_flight import InFlightRequests
from magnoliaroad.once import Attempt, StoredAnswer
from magnoliaroad.relay.request_memory import HeldMemory


class PlainHandler:
    """Handles ``/services/{route}/{path}``."""

    def __init__(
        self,
        cfg: EntrySettings,
        services: EntryServices,
        watch: WithdrawalWatch,
        in_flight: InFlightRequests,
    ) -> None:
        self.cfg = cfg
        self.services = services
        self._watch = watch
        self._in_flight = in_flight
        self._tasks: set[asyncio.Task[web.StreamResponse]] = set()

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Runs one call to a plain service and returns its response."""
        with contextlib.ExitStack() as memory:
            held = memory.enter_context(self.services.memory.hold())
            call = await self._read_call(req, held)
            reply = PlainReply(req)
            run = PlainRun(self.cfg, self.services, call, reply)
            with CancelOnWithdrawal(self._watch, call.caller, run.progress):
                await consume_token(self.services, call.caller)
                run.check_quarantine()
                if call.route.repeatable:
                    return await run.relay()
                return await self._run_once(run, memory)

    async def _read_call(self, req: web.Request, held: HeldMemory) -> PlainCall:
        caller = identify(self.services, req)
        body = await receive_body(req, self.cfg.max_body_bytes, held)
        refuse_leaked_key(req, body)
        name = req.match_info["route"]
        route = find_route(self.services, caller, name, RouteKind.SERVICE)
        call = make_call(req, caller, route, body)
        if not route.repeatable and not call.idempotency_key:
            text = f"Route {route.name!r} needs an {IDEMPOTENCY_KEY_HEADER} header."
            raise Refused(bad_request(text))
        return call

    async def _run_once(
        self, run: PlainRun, memory: contextlib.ExitStack
    ) -> web.StreamResponse:
        result = unwrap(await self.services.once.begin(run.call.intent()))
        if isinstance(result, StoredAnswer):
            return run.reply.complete_response(result, replayed=True)
        # Runs in a task of its own, so that the call completes and its result is
        # recorded even if the caller disconnects.
        task = asyncio.create_task(self._run_in_flight(run, result, memory.pop_all()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _run_in_flight(
        self, run: PlainRun, attempt: Attempt, memory: contextlib.ExitStack
    ) -> web.StreamResponse:
        with self._in_flight, memory:
            return await run.run_once(attempt)
