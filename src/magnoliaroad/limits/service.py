"""The service that enforces the rate and burst of teams across all hosts."""

import asyncio
import itertools
from typing import Any

from loguru import logger
from mode import Service
from returns.result import Failure, Result, Success

from magnoliaroad.background import background_task
from magnoliaroad.config import Config, ConfigService
from magnoliaroad.limits import metrics
from magnoliaroad.limits.clock import expiry_clock
from magnoliaroad.limits.decision import Admitted, Decision
from magnoliaroad.limits.limiter import Limiter
from magnoliaroad.limits.messages import LoanRequest, TokenLoan, TokenReturn
from magnoliaroad.limits.protocol import ShareProtocol
from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.limits.share_messages import (
    ShareTableReply,
    ShareTableRequest,
    ShareTableUpdate,
)
from magnoliaroad.limits.store_caller import execute_call
from magnoliaroad.limits.table import Member
from magnoliaroad.membership import MembershipService
from magnoliaroad.peers import Peers, message_tag
from magnoliaroad.refusal import Refusal
from magnoliaroad.store import Store

ROUND_INTERVAL_S = 0.1
HAND_OVER_TIMEOUT_S = 2.0
JOIN_TIMEOUT_S = 1.0


class LimitService(Service):
    """Admits or refuses requests of teams, after a short wait if needed."""

    def __init__(
        self,
        cfg: LimitSettings,
        config: ConfigService,
        membership: MembershipService,
        store: Store,
        peers: Peers,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        record = membership.record
        self.protocol = ShareProtocol(
            cfg, Member(record.host, record.incarnation), record.data_centre
        )
        self.limiter = Limiter(self.protocol)
        self._config = config
        self._membership = membership
        self._store = store
        self._peers = peers
        self._request_ids = itertools.count()
        self._waiting: dict[int, asyncio.Future[Decision]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._revision = 0
        for kind in (ShareTableRequest, ShareTableReply, ShareTableUpdate):
            peers.on(kind, self._on_share_message)
        for kind in (LoanRequest, TokenLoan, TokenReturn):
            peers.on(kind, self._on_token_message)
        config.on_change(self._on_config)

    async def admit(self, team: str) -> Result[None, Refusal]:
        """Spends one token of ``team``, waiting for it if one is expected soon."""
        request_id = next(self._request_ids)
        decision = self.limiter.decide(expiry_clock(), team, request_id)
        self._flush()
        waited = decision is None
        if decision is None:
            decision = await self._wait(request_id)
        if isinstance(decision, Admitted):
            metrics.ADMITTED.inc({"way": "waited" if waited else "at once"})
            return Success(None)
        refusal = self._refusal(team, decision.retry_after_s)
        metrics.REFUSED.inc({"reason": refusal.code})
        return Failure(refusal)

    async def on_start(self) -> None:
        """Joins the share table before the host serves; gives up after a time limit."""
        self._on_config(self._config.current)
        deadline = expiry_clock() + JOIN_TIMEOUT_S
        await self._join_round()
        while self.protocol.me not in self._members() and expiry_clock() < deadline:
            await asyncio.sleep(ROUND_INTERVAL_S)
            await self._join_round()

    async def on_stop(self) -> None:
        """Hands this host's shares over to the other hosts of its data centre."""
        if self._timer is not None:
            self._timer.cancel()
        if len(self._members()) > 1:
            await self._hand_over_shares()

    @background_task
    async def _run_rounds(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(ROUND_INTERVAL_S)
            self._update_hosts()
            self.protocol.tick(expiry_clock())
            self.limiter.tick(expiry_clock())
            self._flush()
            await self._call_store()
            self._report()

    async def _join_round(self) -> None:
        self._update_hosts()
        self.protocol.start_round(expiry_clock())
        self.protocol.tick(expiry_clock())
        self._flush()
        await self._call_store()

    async def _wait(self, request_id: int) -> Decision:
        fut: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = fut
        try:
            return await fut
        finally:
            del self._waiting[request_id]

    async def _call_store(self) -> None:
        calls = self.protocol.store.calls
        while calls:
            call = calls.pop(0)
            outcome = await execute_call(self._store, call)
            self.protocol.on_store_outcome(expiry_clock(), call, outcome)
            self._flush()

    async def _hand_over_shares(self) -> None:
        self.protocol.lease.release()
        await asyncio.sleep(self.cfg.loan_s * (1 + 2 * self.cfg.drift))
        deadline = expiry_clock() + HAND_OVER_TIMEOUT_S
        self.protocol.stop(expiry_clock())
        while self.protocol.me in self._members() and expiry_clock() < deadline:
            self.protocol.tick(expiry_clock())
            self._flush()
            await self._call_store()
            await asyncio.sleep(ROUND_INTERVAL_S)

    def _members(self) -> tuple[Member, ...]:
        own = self.protocol.view.own_table
        return own.current.members if own else ()

    def _on_config(self, config: Config) -> None:
        self.limiter.set_teams(expiry_clock(), config.teams)

    async def _on_share_message(self, sender: str, message: Any) -> None:
        self.protocol.on_message(expiry_clock(), sender, message)
        self._flush()

    async def _on_token_message(self, sender: str, message: Any) -> None:
        self.limiter.on_message(expiry_clock(), sender, message)
        self._flush()

    def _flush(self) -> None:
        for outbox in (self.protocol.outbox, self.limiter.outbox):
            for host, message in outbox:
                metrics.MESSAGES.inc({"type": message_tag(type(message))})
                self._peers.send(host, message)
            outbox.clear()
        for decision in self.limiter.decisions:
            fut = self._waiting.get(decision.request_id)
            if fut is not None and not fut.done():
                fut.set_result(decision)
        self.limiter.decisions.clear()
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        now = expiry_clock()
        at = self.limiter.next_event()
        if at >= now + ROUND_INTERVAL_S or (
            self._timer is not None and self._timer_at <= at
        ):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, at - now), self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.limiter.tick(expiry_clock())
        self._flush()

    def _update_hosts(self) -> None:
        if not self._membership.has_synced:
            return
        own = self._membership.record
        local = [
            record
            for record in self._membership.hosts.values()
            if record.data_centre == own.data_centre
        ]
        self.protocol.set_live(
            {record.host: record.incarnation for record in local},
            [record.host for record in local if record.draining],
        )
        self.protocol.set_removed_hosts(expiry_clock(), self._removed_hosts())

    def _removed_hosts(self) -> set[str]:
        removed = set(self._membership.removed_hosts)
        if self._membership.has_platform_list:
            return removed
        members = {member.host for member in self._members()}
        return removed | (members - self._membership.hosts.keys())

    def _report(self) -> None:
        own = self.protocol.view.own_table
        metrics.RIGHT.set({}, int(self.protocol.lease.is_valid(expiry_clock())))
        metrics.ACTIVE_TEAMS.set({}, self.limiter.active_teams)
        if own is None or own.revision == self._revision:
            return
        self._revision = own.revision
        metrics.REVISION.set({}, own.revision)
        hosts = [member.host for member in own.current.members]
        logger.bind(revision=own.revision, hosts=hosts, parts=own.current.parts).info(
            "share table in force"
        )

    def _refusal(self, team: str, retry_after_s: float) -> Refusal:
        view = self.protocol.view
        if not view.tables:
            return Refusal(
                code="no_share",
                status=503,
                message="This host has no share of the teams' rates yet.",
                action="Send the request again after the retry time.",
                retry_after_s=self.cfg.confirm_interval_s,
            )
        return Refusal(
            code="over_rate",
            status=429,
            message=f"Team {team!r} is over its rate.",
            action="Send the request again after the retry time.",
            retry_after_s=round(retry_after_s, 3),
        )
