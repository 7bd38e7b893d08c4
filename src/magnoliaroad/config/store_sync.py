"""Follows the configuration's head in the store."""

from loguru import logger

from magnoliaroad.config import metrics
from magnoliaroad.config.head import HEAD_KEY
from magnoliaroad.config.restore import is_up_to_date, restore_head
from magnoliaroad.config.topology import GossipTopology
from magnoliaroad.config.updater import STORE, ConfigUpdater
from magnoliaroad.store import PrefixFollower, Store, StoreEntry, StoreError

READS_BEFORE_RESTORE = 3


class StoreSync:
    """Reads and watches the head in the store, and restores it after its loss.

    The head is restored once ``READS_BEFORE_RESTORE`` consecutive reads returned an
    older head than the local one.

    Args:
        store: The store.
        updater: Receives the heads.
        topology: Determines whether this host watches the store.
        watch_limit_s: Longest time that one watch call stays open.
    """

    def __init__(
        self,
        store: Store,
        updater: ConfigUpdater,
        topology: GossipTopology,
        watch_limit_s: float,
    ) -> None:
        self._store = store
        self._updater = updater
        self._topology = topology
        self._follower = PrefixFollower(store, HEAD_KEY, watch_limit_s)
        self._reads_behind = 0

    async def watch(self) -> bool:
        """Waits for a change of the head.

        Returns:
            Whether the store answered from an older state than before, or returned
            an outdated head in the last read.

        Raises:
            StoreError: The store did not answer.
        """
        metrics.STORE_CALLS.inc({"operation": "watch"})
        followed = await self._follower.next_changes()
        for entry in followed.changed:
            await self._updater.receive_head(entry.value, STORE)
        if not followed.revision_decreased and not self._reads_behind:
            return False
        await self.read()
        return True

    async def read(self) -> bool:
        """Reads the head; returns whether the store answered."""
        metrics.STORE_CALLS.inc({"operation": "get"})
        try:
            entry = await self._store.get(HEAD_KEY)
        except StoreError as exc:
            logger.bind(reason=str(exc)).debug(
                "configuration head not read from the store"
            )
            return False
        if entry is not None:
            await self._updater.receive_head(entry.value, STORE)
        await self._restore(entry)
        return True

    async def _restore(self, entry: StoreEntry | None) -> None:
        if not self._is_restore_due(entry) or not self._topology.is_watcher():
            return
        replica = self._updater.replica
        try:
            restored = await restore_head(self._store, replica, entry)
        except StoreError as exc:
            logger.bind(reason=str(exc)).debug("configuration head not restored")
            return
        if restored:
            revision = replica.head.revision
            logger.bind(revision=revision).warning(
                "configuration head restored in the store"
            )

    def _is_restore_due(self, entry: StoreEntry | None) -> bool:
        behind = not is_up_to_date(entry, self._updater.replica.head)
        self._reads_behind = self._reads_behind + 1 if behind else 0
        return self._reads_behind >= READS_BEFORE_RESTORE
