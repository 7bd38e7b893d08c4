"""Learns newer configurations, targets and quarantined requests from peers."""

import asyncio
import random

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.relay.beat import Beat, PlanAsk, PlanTold, TargetsAsk, TargetsTold
from magnoliaroad.relay.host_book import HostBook
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.target_follower import TargetFollower
from magnoliaroad.store import Store, StoreError
from magnoliaroad.store.contact import StoreContact

# Time in which a change in the store reaches most hosts without their peers.
SETTLE_S = 0.2
# Longest wait for a peer's answer.
ASK_S = 0.3
# Largest configuration that peers tell; larger ones are read from the store, as all
# hosts would ask one peer at the same time, whose link takes 4 MB a second.
TOLD_BYTES = 60_000


class CatchUp:
    """Asks a peer whose heartbeat names something newer, and answers peers that ask.

    Args:
        store: The store, from which large configurations are read.
        peers: Connections between hosts.
        plans: Configuration in force.
        follower: Targets that are known.
        contact: Whether the store can be reached.
        quarantine: Requests that crash targets.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        plans: PlanHolder,
        follower: TargetFollower,
        contact: StoreContact,
        quarantine: QuarantineService,
    ) -> None:
        self._store = store
        self._peers = peers
        self._plans = plans
        self._follower = follower
        self._contact = contact
        self._quarantine = quarantine
        self._asking: asyncio.Task[None] | None = None
        peers.on(PlanAsk, self._on_plan_ask, PlanTold)
        peers.on(TargetsAsk, self._on_targets_ask, TargetsTold)

    def hear(self, beat: Beat) -> None:
        """Asks the host of a heartbeat if it knows something newer."""
        idle = self._asking is None or self._asking.done()
        if idle and self._is_ahead(beat):
            self._asking = asyncio.create_task(self._ask(beat))

    def look(self, book: HostBook) -> None:
        """Asks a peer again for what an earlier one did not tell."""
        ahead = [beat for beat in book.in_contact().values() if self._is_ahead(beat)]
        near = [beat for beat in ahead if book.is_near(beat)]
        if ahead:
            self.hear(random.choice(near or ahead))

    def stop(self) -> None:
        """Ends what is asked."""
        if self._asking is not None:
            self._asking.cancel()

    def _is_ahead(self, beat: Beat) -> bool:
        newer_plan = beat.plan_version > self._plans.version
        newer_targets = beat.targets_revision > self._follower.revision
        return newer_plan or newer_targets or self._quarantines_others(beat)

    def _quarantines_others(self, beat: Beat) -> bool:
        return beat.quarantined not in (0, self._quarantine.digest)

    async def _ask(self, beat: Beat) -> None:
        """Asks a peer for what it knows and this host does not."""
        try:
            if beat.plan_version > self._plans.version:
                await self._learn_plan(beat)
            if self._quarantines_others(beat):
                await self._quarantine.ask(beat.host, ASK_S)
            # A change that reaches all hosts by the store takes a moment.
            await asyncio.sleep(SETTLE_S)
            if beat.targets_revision > self._follower.revision:
                ask = TargetsAsk(self._follower.revision)
                told = await self._peers.call(beat.host, ask, ASK_S)
                logger.bind(host=beat.host, revision=told.revision).info("targets told")
                self._follower.hear(*told)
        except PeerError as exc:
            logger.bind(host=beat.host, reason=str(exc)).info("peer did not tell")
        except Exception as exc:
            logger.bind(host=beat.host).opt(exception=exc).error("not caught up")

    async def _learn_plan(self, beat: Beat) -> None:
        if beat.plan_bytes > TOLD_BYTES and not self._contact.lost:
            try:
                entry = await self._store.get(beat.plan_key)
            except StoreError as exc:
                logger.bind(key=beat.plan_key, reason=str(exc)).info("plan not read")
                entry = None
            if entry is not None:
                self._plans.offer(entry.key, entry.value, f"store, by {beat.host}")
            if beat.plan_version <= self._plans.version:
                return
        ask = PlanAsk(self._plans.version)
        told = await self._peers.call(beat.host, ask, ASK_S)
        if told.key:
            self._plans.offer(told.key, told.value, beat.host)

    async def _on_targets_ask(self, sender: str, ask: TargetsAsk) -> TargetsTold:
        return self._follower.tell()

    async def _on_plan_ask(self, sender: str, ask: PlanAsk) -> PlanTold:
        if self._plans.source is None or self._plans.version <= ask.version:
            return PlanTold("", b"")
        return PlanTold(*self._plans.source)
