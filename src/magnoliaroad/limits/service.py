"""Holds teams to their rate and burst across all hosts."""

import asyncio
import itertools
from typing import Any

from loguru import logger
from mode import Service
from returns.result import Failure, Result, Success

from magnoliaroad.config import Config, ConfigService
from magnoliaroad.limits import metrics
from magnoliaroad.limits.clock import lapse_clock
from magnoliaroad.limits.decision import Admitted, Decision
from magnoliaroad.limits.limiter import Limiter
from magnoliaroad.limits.messages import TokenAsk, TokenLoan, TokenReturn
from magnoliaroad.limits.protocol import ShareProtocol
from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.limits.share_messages import ShareAnswer, ShareAsk, ShareNews
from magnoliaroad.limits.store_caller import carry_out
from magnoliaroad.limits.table import Member
from magnoliaroad.membership import MembershipService
from magnoliaroad.peers import Peers, message_tag
from magnoliaroad.refusal import Refusal
from magnoliaroad.store import Store

ROUND_S = 0.1
HAND_BACK_S = 2.0
JOIN_S = 1.0


class LimitService(Service):
    """Admits a request of a team, after a short wait where that helps."""

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
        self._tickets = itertools.count()
        self._waiting: dict[int, asyncio.Future[Decision]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._revision = 0
        for kind in (ShareAsk, ShareAnswer, ShareNews):
            peers.on(kind, self._on_share_message)
        for kind in (TokenAsk, TokenLoan, TokenReturn):
            peers.on(kind, self._on_token_message)
        config.on_change(self._on_config)

    async def admit(self, team: str) -> Result[None, Refusal]:
        """Takes one token of ``team``."""
        ticket = next(self._tickets)
        decision = self.limiter.request(lapse_clock(), team, ticket)
        self._flush()
        waited = decision is None
        if decision is None:
            decision = await self._wait(ticket)
        if isinstance(decision, Admitted):
            metrics.ADMITTED.inc({"way": "waited" if waited else "at once"})
            return Success(None)
        refusal = self._refusal(team, decision.retry_after_s)
        metrics.REFUSED.inc({"reason": refusal.code})
        return Failure(refusal)

    async def on_start(self) -> None:
        """Joins the share table before the host serves, if that can be."""
        self._on_config(self._config.current)
        deadline = lapse_clock() + JOIN_S
        await self._join_round()
        while self.protocol.me not in self._members() and lapse_clock() < deadline:
            await asyncio.sleep(ROUND_S)
            await self._join_round()

    async def on_stop(self) -> None:
        """Hands this host's shares to the others of its data centre."""
        if self._timer is not None:
            self._timer.cancel()
        if len(self._members()) > 1:
            await self._hand_back()

    @Service.task
    async def _run_rounds(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(ROUND_S)
            self._note_hosts()
            self.protocol.tick(lapse_clock())
            self.limiter.tick(lapse_clock())
            self._flush()
            await self._call_store()
            self._report()

    async def _join_round(self) -> None:
        self._note_hosts()
        self.protocol.hurry(lapse_clock())
        self.protocol.tick(lapse_clock())
        self._flush()
        await self._call_store()

    async def _wait(self, ticket: int) -> Decision:
        fut: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = fut
        try:
            return await fut
        finally:
            del self._waiting[ticket]

    async def _call_store(self) -> None:
        calls = self.protocol.store.calls
        while calls:
            call = calls.pop(0)
            outcome = await carry_out(self._store, call)
            self.protocol.on_store(lapse_clock(), call, outcome)
            self._flush()

    async def _hand_back(self) -> None:
        self.protocol.right.renounce()
        await asyncio.sleep(self.cfg.loan_s * (1 + 2 * self.cfg.drift))
        deadline = lapse_clock() + HAND_BACK_S
        self.protocol.stop(lapse_clock())
        while self.protocol.me in self._members() and lapse_clock() < deadline:
            self.protocol.tick(lapse_clock())
            self._flush()
            await self._call_store()
            await asyncio.sleep(ROUND_S)

    def _members(self) -> tuple[Member, ...]:
        own = self.protocol.view.own
        return own.current.members if own else ()

    def _on_config(self, config: Config) -> None:
        self.limiter.set_teams(lapse_clock(), config.teams)

    async def _on_share_message(self, sender: str, message: Any) -> None:
        self.protocol.on_message(lapse_clock(), sender, message)
        self._flush()

    async def _on_token_message(self, sender: str, message: Any) -> None:
        self.limiter.on_message(lapse_clock(), sender, message)
        self._flush()

    def _flush(self) -> None:
        for box in (self.protocol.outbox, self.limiter.outbox):
            for host, message in box:
                metrics.MESSAGES.inc({"type": message_tag(type(message))})
                self._peers.send(host, message)
            box.clear()
        for decision in self.limiter.decisions:
            fut = self._waiting.get(decision.ticket)
            if fut is not None and not fut.done():
                fut.set_result(decision)
        self.limiter.decisions.clear()
        self._arm()

    def _arm(self) -> None:
        now = lapse_clock()
        at = self.limiter.next_event()
        if at >= now + ROUND_S or (self._timer is not None and self._timer_at <= at):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, at - now), self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.limiter.tick(lapse_clock())
        self._flush()

    def _note_hosts(self) -> None:
        if not self._membership.is_read:
            return
        own = self._membership.record
        near = [
            record
            for record in self._membership.hosts.values()
            if record.data_centre == own.data_centre
        ]
        self.protocol.set_live(
            {record.host: record.incarnation for record in near},
            [record.host for record in near if record.draining],
        )
        self.protocol.set_gone(lapse_clock(), self._gone_hosts())

    def _gone_hosts(self) -> set[str]:
        gone = set(self._membership.gone_hosts)
        if self._membership.has_host_list:
            return gone
        members = {member.host for member in self._members()}
        return gone | (members - self._membership.hosts.keys())

    def _report(self) -> None:
        own = self.protocol.view.own
        metrics.RIGHT.set({}, int(self.protocol.right.holds(lapse_clock())))
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
