"""Takes new configurations: completes, keeps and puts them in force."""

import pathlib
from collections.abc import Callable

from loguru import logger

from magnoliaroad.config import metrics
from magnoliaroad.config.document import Config
from magnoliaroad.config.fetch import PartFetcher
from magnoliaroad.config.folder import ConfigFolder
from magnoliaroad.config.head import ConfigHead, unpack_head
from magnoliaroad.config.replica import ConfigReplica
from magnoliaroad.config.topology import GossipTopology

STORE = "store"
FOLDER = "folder"

Listener = Callable[[Config, str], None]


class ConfigUpdater:
    """Offers heads to a replica once their parts are there.

    Args:
        replica: Replica that decides.
        fetcher: Gets missing parts.
        topology: Peers to ask for parts.
        folder: Folder that keeps the last configuration; ``None`` keeps nothing.
        listener: Is given each configuration that is put in force and its source: a
            host, ``store`` or ``folder``.
    """

    def __init__(
        self,
        replica: ConfigReplica,
        fetcher: PartFetcher,
        topology: GossipTopology,
        folder: pathlib.Path | None,
        listener: Listener,
    ) -> None:
        self.replica = replica
        self._fetcher = fetcher
        self._topology = topology
        self._folder = None if folder is None else ConfigFolder(folder)
        self._listener = listener

    @property
    def has_saved_config(self) -> bool:
        """Whether the data folder confirms the newest configuration."""
        return self._folder is not None and self.replica.head.revision > 0

    async def receive_head(self, data: bytes, source: str) -> None:
        """Takes a packed head from ``source``, a host or the store."""
        try:
            head = unpack_head(data)
        except ValueError as exc:
            metrics.IGNORED.inc({"reason": "unreadable"})
            logger.bind(source=source, reason=str(exc)).error("head not readable")
            return
        current_revision = self.replica.head.revision
        if head.revision > current_revision:
            await self._fetch_and_install(head, source)
        elif head.revision < current_revision:
            metrics.IGNORED.inc({"reason": "older"})

    def add_parts(self, parts: tuple[bytes, ...]) -> None:
        """Keeps parts for a head to come."""
        try:
            for data in parts:
                self.replica.add(data)
        except ValueError as exc:
            logger.bind(reason=str(exc)).error("part not readable")

    def load(self) -> None:
        """Takes what the data folder keeps."""
        if self._folder is None:
            return
        try:
            self._folder.load(self.replica)
        except (OSError, ValueError) as exc:
            logger.bind(reason=str(exc)).error("kept configuration not readable")
            return
        if self.replica.current.revision:
            self._listener(self.replica.current, FOLDER)

    def activate(self) -> None:
        """Puts what was held back in force."""
        if self.replica.activate():
            self._listener(self.replica.current, "start")

    async def _fetch_and_install(self, head: ConfigHead, source: str) -> None:
        gossip_peers = self._topology.gossip_peers()
        before_store = [] if source == STORE else [source]
        if self.replica.head.revision == 0:
            before_store += gossip_peers
        if not await self._fetcher.fetch_missing(head, before_store, gossip_peers):
            metrics.IGNORED.inc({"reason": "partial"})
        elif self.replica.offer(head):
            self._save()
            metrics.TAKEN.inc({"source": STORE if source == STORE else "peer"})
            if not self.replica.activation_deferred:
                self._listener(self.replica.current, source)

    def _save(self) -> None:
        if self._folder is None:
            return
        try:
            self._folder.save(self.replica)
        except OSError as exc:
            logger.bind(reason=str(exc)).error("configuration not kept on disk")
