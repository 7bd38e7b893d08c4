"""Fetches, installs, saves and activates new configurations."""

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
    """Installs received heads in a replica once their parts are complete.

    Args:
        replica: Replica that accepts or rejects each head.
        fetcher: Fetches missing parts.
        topology: Provides the peers to fetch parts from.
        folder: Folder to save the last configuration in; ``None`` disables saving.
        listener: Called with each configuration that becomes active and its source:
            a host, ``store``, ``folder``, or ``start`` for a deferred activation.
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
        """Whether there is a data folder and a configuration is installed."""
        return self._folder is not None and self.replica.head.revision > 0

    async def receive_head(self, data: bytes, source: str) -> None:
        """Installs a packed head if it is newer.

        Args:
            data: The packed head.
            source: The host that sent it, or ``STORE``.
        """
        try:
            head = unpack_head(data)
        except ValueError as exc:
            metrics.IGNORED.inc({"reason": "unreadable"})
            logger.bind(source=source, reason=str(exc)).error(
                "configuration head not readable"
            )
            return
        current_revision = self.replica.head.revision
        if head.revision > current_revision:
            await self._fetch_and_install(head, source)
        elif head.revision < current_revision:
            metrics.IGNORED.inc({"reason": "older"})

    def add_parts(self, parts: tuple[bytes, ...]) -> None:
        """Adds packed parts for heads that are received later."""
        try:
            for data in parts:
                self.replica.add(data)
        except ValueError as exc:
            logger.bind(reason=str(exc)).error("configuration part not readable")

    def load(self) -> None:
        """Installs the configuration saved in the data folder."""
        if self._folder is None:
            return
        try:
            self._folder.load(self.replica)
        except (OSError, ValueError) as exc:
            logger.bind(reason=str(exc)).error("saved configuration not readable")
            return
        if self.replica.current.revision:
            self._listener(self.replica.current, FOLDER)

    def activate(self) -> None:
        """Activates the newest configuration after a deferred activation."""
        if self.replica.activate():
            self._listener(self.replica.current, "start")

    async def _fetch_and_install(self, head: ConfigHead, source: str) -> None:
        gossip_peers = self._topology.gossip_peers()
        before_store = [] if source == STORE else [source]
        if self.replica.head.revision == 0:
            before_store += gossip_peers
        if not await self._fetcher.fetch_missing(head, before_store, gossip_peers):
            metrics.IGNORED.inc({"reason": "partial"})
        elif self.replica.install(head):
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
            logger.bind(reason=str(exc)).error(
                "configuration not saved to the data folder"
            )
