"""Calls to plain services, passed through unchanged."""

import asyncio

from aiohttp import web

from magnoliaroad.config import RouteKind
from magnoliaroad.entry.admission import find_route, identify, take_token, unwrap
from magnoliaroad.entry.key_leak import refuse_key_in
from magnoliaroad.entry.parts import EntryParts
from magnoliaroad.entry.plain_call import KEY_HEADER, PlainCall, make_call
from magnoliaroad.entry.plain_reply import PlainReply
from magnoliaroad.entry.plain_run import PlainRun
from magnoliaroad.entry.progress import EndedByWithdrawal
from magnoliaroad.entry.refused import Refused, bad_request
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.entry.withdrawal_watch import WithdrawalWatch
from magnoliaroad.in_hand import InHand
from magnoliaroad.once import Attempt, StoredAnswer


class PlainHandler:
    """Handles ``/services/{route}/{path}``."""

    def __init__(
        self,
        cfg: EntrySettings,
        parts: EntryParts,
        watch: WithdrawalWatch,
        in_hand: InHand,
    ) -> None:
        self.cfg = cfg
        self.parts = parts
        self._watch = watch
        self._in_hand = in_hand
        self._running: set[asyncio.Task[web.StreamResponse]] = set()

    async def handle(self, req: web.Request) -> web.StreamResponse:
        """Answers one call to a plain service."""
        call = await self._admit(req)
        reply = PlainReply(req)
        run = PlainRun(self.cfg, self.parts, call, reply)
        try:
            with EndedByWithdrawal(self._watch, call.caller, run.progress):
                await take_token(self.parts, call.caller)
                run.check()
                if call.route.repeatable:
                    return await run.relay()
                return await self._once(run)
        except BaseException:
            if reply.started:
                reply.abort()
            raise

    async def _admit(self, req: web.Request) -> PlainCall:
        caller = identify(self.parts, req)
        body = await req.read()
        refuse_key_in(req, body)
        name = req.match_info["route"]
        route = find_route(self.parts, caller, name, RouteKind.SERVICE)
        call = make_call(req, caller, route, body)
        if not route.repeatable and not call.idempotency_key:
            text = f"Route {route.name!r} needs an {KEY_HEADER} header."
            raise Refused(bad_request(text))
        return call

    async def _once(self, run: PlainRun) -> web.StreamResponse:
        known = unwrap(await self.parts.once.begin(run.call.intent()))
        if isinstance(known, StoredAnswer):
            return run.reply.whole(known, replayed=True)
        # Goes on to its end and record when the caller leaves.
        task = asyncio.create_task(self._run_counted(run, known))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def _run_counted(self, run: PlainRun, attempt: Attempt) -> web.StreamResponse:
        with self._in_hand:
            return await run.once(attempt)
