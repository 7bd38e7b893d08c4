"""Synchronises withdrawn keys between this host, its peers and the store."""

import pathlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

from loguru import logger

from magnoliaroad.config.topology import GossipTopology
from magnoliaroad.keys import metrics
from magnoliaroad.keys.contact import LastContact
from magnoliaroad.keys.messages import (
    WithdrawalAck,
    WithdrawalNotice,
    WithdrawalsReply,
    WithdrawalsRequest,
)
from magnoliaroad.keys.withdrawal_folder import WithdrawalFolder
from magnoliaroad.keys.withdrawal_store import WITHDRAWN_PREFIX, write_missing
from magnoliaroad.keys.withdrawals import Withdrawals, pack_shard, unpack_shard
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.store import PrefixFollower, Store, StoreEntry

MAX_NOTICE_FINGERPRINTS = 256

Clock = Callable[[], float]


class SyncSettings(NamedTuple):
    """Timeouts of the synchronisation.

    Attributes:
        ask_timeout_s: Longest wait for a peer's reply.
        watch_limit_s: Longest time that one watch call stays open.
    """

    ask_timeout_s: float
    watch_limit_s: float


class WithdrawalSync:
    """Merges the withdrawn keys of the store, peers and the data folder.

    New keys are gossiped to peers at once, unless there are more than
    ``MAX_NOTICE_FINGERPRINTS``. Periodic comparisons of checksums with peers
    (anti-entropy) transfer the keys of larger batches and of lost notices.

    Args:
        cfg: Timeouts.
        store: The store.
        peers: Connections to the other hosts.
        topology: Provides the peers to notify and compare with.
        folder: Folder to save the set in; ``None`` disables saving.
        clock: Returns monotonic time in seconds.

    Attributes:
        withdrawals: The withdrawn keys known to this host.
        contact: Age of the last contact with the rest of the fleet.
        complete: Whether the whole set of the store, a peer or the folder has been
            merged.
        on_new: Called without arguments after new keys were merged.
    """

    def __init__(
        self,
        cfg: SyncSettings,
        store: Store,
        peers: Peers,
        topology: GossipTopology,
        folder: pathlib.Path | None,
        clock: Clock,
    ) -> None:
        self.cfg = cfg
        self.withdrawals = Withdrawals()
        self.contact = LastContact()
        self.complete = False
        self.on_new: Callable[[], None] = lambda: None
        self._store = store
        self._peers = peers
        self._topology = topology
        self._folder = None if folder is None else WithdrawalFolder(folder)
        self._clock = clock
        self._stored = Withdrawals()
        self._follower = PrefixFollower(store, WITHDRAWN_PREFIX, cfg.watch_limit_s)
        peers.on(WithdrawalNotice, self._on_notice, reply=WithdrawalAck)
        peers.on(WithdrawalsRequest, self._on_request, reply=WithdrawalsReply)

    def contact_age_s(self) -> float:
        """Returns the seconds since the last contact with the rest of the fleet."""
        return self.contact.age_s(self._clock())

    def load(self) -> None:
        """Merges the set saved in the data folder."""
        if self._folder is None:
            return
        try:
            items = self._folder.load()
        except (OSError, ValueError) as exc:
            logger.bind(reason=str(exc)).error("saved withdrawn keys not readable")
            return
        if items is not None:
            self.complete = True
            self._merge(items)

    async def read(self) -> None:
        """Merges the store's whole set.

        Raises:
            StoreError: The store did not answer.
        """
        metrics.STORE_CALLS.inc({"operation": "list"})
        batch = await self._store.list(WITHDRAWN_PREFIX)
        self.contact.record(self._clock())
        self._stored = Withdrawals()
        for entry in batch.changed:
            self._merge_stored(entry)
        self._follower.known_revision = batch.revision
        self._mark_complete()

    async def watch(self) -> None:
        """Waits for a change in the store, and writes missing keys back to it.

        Raises:
            StoreError: The store did not answer, or a write failed.
        """
        metrics.STORE_CALLS.inc({"operation": "watch"})
        followed = await self._follower.next_changes()
        self.contact.record(self._clock())
        for entry in followed.changed:
            self._merge_stored(entry)
        if followed.revision_decreased:
            await self.read()
        await self._write_back()

    async def compare(self, host: str) -> None:
        """Merges the withdrawn keys and the last contact of ``host``.

        The first request carries one checksum; if the sets differ, a second one
        carries a checksum for each shard, and ``host`` returns the differing shards.
        """
        request = WithdrawalsRequest(self.withdrawals.checksum())
        reply = await self._call(host, request)
        if reply is not None and not reply.equal:
            checksums = self.withdrawals.shard_checksums()
            reply = await self._call(host, request._replace(shard_checksums=checksums))
        if reply is None:
            return
        for data in reply.shards:
            self._merge_shard(data, host)
        self._mark_complete()

    async def _write_back(self) -> None:
        if self.withdrawals.checksum() == self._stored.checksum():
            return
        metrics.STORE_CALLS.inc({"operation": "put"})
        written = await write_missing(self._store, self.withdrawals, self._stored)
        self._stored.merge(self.withdrawals)
        logger.bind(count=written).info("withdrawn keys written back")

    async def _call(
        self, host: str, request: WithdrawalsRequest
    ) -> WithdrawalsReply | None:
        requested_at = self._clock()
        try:
            reply = await self._peers.call(host, request, self.cfg.ask_timeout_s)
        except (PeerError, ValueError):
            return None
        remote = self._topology.in_other_data_centre(host)
        self.contact.record(requested_at, 0.0 if remote else reply.contact_age_s)
        return reply

    def _merge_stored(self, entry: StoreEntry) -> None:
        self._stored.merge(self._merge_shard(entry.value, entry.key))

    def _merge_shard(self, data: bytes, source: str) -> list[bytes]:
        try:
            items = unpack_shard(data)
        except ValueError as exc:
            logger.bind(source=source, reason=str(exc)).error(
                "shard of withdrawn keys not readable"
            )
            return []
        self._merge(items)
        return items

    def _merge(self, items: Iterable[bytes]) -> None:
        new = self.withdrawals.merge(items)
        if not new:
            return
        self._save()
        metrics.WITHDRAWN.set({}, len(self.withdrawals))
        logger.bind(count=len(new)).info("keys withdrawn")
        self.on_new()
        if len(new) <= MAX_NOTICE_FINGERPRINTS:
            for host in self._topology.gossip_peers():
                self._peers.send(host, WithdrawalNotice(tuple(new)))

    def _mark_complete(self) -> None:
        if not self.complete:
            self.complete = True
            self._save()

    def _save(self) -> None:
        if self._folder is None:
            return
        try:
            self._folder.save(self.withdrawals)
        except OSError as exc:
            logger.bind(reason=str(exc)).error(
                "withdrawn keys not saved to the data folder"
            )

    async def _on_notice(self, sender: str, notice: WithdrawalNotice) -> WithdrawalAck:
        self._merge(notice.fingerprints)
        return WithdrawalAck(self._topology.location.host)

    async def _on_request(
        self, sender: str, request: WithdrawalsRequest
    ) -> WithdrawalsReply:
        age_s = self.contact_age_s()
        if request.checksum == self.withdrawals.checksum():
            return WithdrawalsReply(True, age_s)
        differing = self.withdrawals.differing_shards(request.shard_checksums)
        shards = map(self.withdrawals.shard, differing)
        return WithdrawalsReply(False, age_s, tuple(map(pack_shard, shards)))
