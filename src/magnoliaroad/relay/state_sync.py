"""Fetches newer configurations, targets and quarantine decisions from peers."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.relay.fleet_messages import (
    Heartbeat,
    PlanReply,
    PlanRequest,
    TargetsReply,
    TargetsRequest,
)
from magnoliaroad.relay.heartbeat_tracker import HeartbeatTracker
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.target_follower import TargetFollower
from magnoliaroad.store import Store, StoreError
from magnoliaroad.store.contact import StoreContact

# Time in which a change in the store reaches most hosts without the help of peers.
STORE_PROPAGATION_S = 0.2
# Longest wait for a peer's answer.
ANSWER_TIMEOUT_S = 0.3
# Largest configuration that is fetched from a peer while the store is reachable, and
# most bytes that one host sends of it to its data centre: the hosts all ask the one
# that watches the store, and the slowest links carry 2 MB a second. Replies that take
# longer than ``ANSWER_TIMEOUT_S`` would be dropped and asked for again. What is larger
# is read from the store.
MAX_PLAN_REPLY_BYTES = 60_000
MAX_PLAN_SPREAD_BYTES = 500_000


class StateSync:
    """Fetches state from peers that have a newer one, and answers such requests.

    Args:
        store: The store, from which large configurations are read.
        peers: Connections between hosts.
        plans: Configuration in force.
        follower: Targets that are known.
        contact: Whether the store can be reached.
        quarantine: Requests that crash targets.
        near_hosts: Returns the number of other hosts in this data centre.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        plans: PlanHolder,
        follower: TargetFollower,
        contact: StoreContact,
        quarantine: QuarantineService,
        near_hosts: Callable[[], int],
    ) -> None:
        self._store = store
        self._peers = peers
        self._plans = plans
        self._follower = follower
        self._contact = contact
        self._quarantine = quarantine
        self._near_hosts = near_hosts
        self._fetching: asyncio.Task[None] | None = None
        peers.on(PlanRequest, self._on_plan_request, PlanReply)
        peers.on(TargetsRequest, self._on_targets_request, TargetsReply)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Fetches from the sender of a heartbeat if its state is newer."""
        idle = self._fetching is None or self._fetching.done()
        if idle and self._is_ahead(heartbeat):
            self._fetching = asyncio.create_task(self._fetch(heartbeat))

    def retry(self, tracker: HeartbeatTracker) -> None:
        """Fetches from any peer with newer state, after an earlier fetch has failed."""
        ahead = [
            heartbeat
            for heartbeat in tracker.newest_in_contact()
            if self._is_ahead(heartbeat)
        ]
        near = [heartbeat for heartbeat in ahead if tracker.is_near(heartbeat)]
        if ahead:
            self.on_heartbeat(random.choice(near or ahead))

    def stop(self) -> None:
        """Cancels the fetch in progress."""
        if self._fetching is not None:
            self._fetching.cancel()

    def _is_ahead(self, heartbeat: Heartbeat) -> bool:
        newer_plan = heartbeat.plan_version > self._plans.version
        newer_targets = heartbeat.targets_revision > self._follower.revision
        return newer_plan or newer_targets or self._quarantine_differs(heartbeat)

    def _quarantine_differs(self, heartbeat: Heartbeat) -> bool:
        stated = heartbeat.quarantined
        return stated != 0 and stated != self._quarantine.digest

    async def _fetch(self, heartbeat: Heartbeat) -> None:
        """Fetches whatever is newer at a peer than at this host."""
        try:
            if heartbeat.plan_version > self._plans.version:
                await self._fetch_plan(heartbeat)
            if self._quarantine_differs(heartbeat):
                await self._quarantine.fetch_decisions(heartbeat.host, ANSWER_TIMEOUT_S)
            # Gives the store time to deliver the change, which makes a fetch needless.
            await asyncio.sleep(STORE_PROPAGATION_S)
            if heartbeat.targets_revision > self._follower.revision:
                req = TargetsRequest(self._follower.revision)
                reply = await self._peers.call(heartbeat.host, req, ANSWER_TIMEOUT_S)
                logger.bind(host=heartbeat.host, revision=reply.revision).info(
                    "targets told"
                )
                self._follower.merge_entries(*reply)
        except PeerError as exc:
            logger.bind(host=heartbeat.host, reason=str(exc)).info("peer did not tell")
        except Exception as exc:
            logger.bind(host=heartbeat.host).opt(exception=exc).error("not caught up")

    async def _fetch_plan(self, heartbeat: Heartbeat) -> None:
        if self._is_too_large(heartbeat.plan_bytes) and not self._contact.lost:
            await self._read_plan(heartbeat)
            if heartbeat.plan_version <= self._plans.version:
                return
        req = PlanRequest(self._plans.version)
        try:
            reply = await self._peers.call(heartbeat.host, req, ANSWER_TIMEOUT_S)
        except PeerError:
            # A peer that is asked by many answers too late; more questions would make
            # it later.
            if not self._contact.lost:
                await self._read_plan(heartbeat)
            raise
        if reply.key:
            self._plans.offer(reply.key, reply.value, heartbeat.host)

    async def _read_plan(self, heartbeat: Heartbeat) -> None:
        """Reads the configuration that a peer has from the store."""
        try:
            entry = await self._store.get(heartbeat.plan_key)
        except StoreError as exc:
            logger.bind(key=heartbeat.plan_key, reason=str(exc)).info(
                "cannot read configuration"
            )
            return
        if entry is not None:
            self._plans.offer(entry.key, entry.value, f"store, by {heartbeat.host}")

    def _is_too_large(self, plan_bytes: int) -> bool:
        """Whether a configuration is too large to be sent to all by one host."""
        spread_bytes = plan_bytes * self._near_hosts()
        return plan_bytes > MAX_PLAN_REPLY_BYTES or spread_bytes > MAX_PLAN_SPREAD_BYTES

    async def _on_targets_request(
        self, sender: str, req: TargetsRequest
    ) -> TargetsReply:
        return self._follower.export_entries()

    async def _on_plan_request(self, sender: str, req: PlanRequest) -> PlanReply:
        if self._plans.source is None or self._plans.version <= req.version:
            return PlanReply("", b"")
        return PlanReply(*self._plans.source)
