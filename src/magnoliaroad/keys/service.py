"""Identifies callers by their keys and signals when keys become invalid."""

import asyncio
import pathlib
import time
from collections.abc import Callable

from loguru import logger
from mode import Service
from returns.result import Failure, Result, Success

from magnoliaroad.background import background_task
from magnoliaroad.config import Config, ConfigService
from magnoliaroad.keys import metrics
from magnoliaroad.keys.caller import Caller
from magnoliaroad.keys.digest import digest_key
from magnoliaroad.keys.refusals import NOT_READY, UNKNOWN_KEY, UNVERIFIED_KEY
from magnoliaroad.keys.settings import KeySettings
from magnoliaroad.keys.sync import SyncSettings, WithdrawalSync
from magnoliaroad.keys.withdrawals import Withdrawals, fingerprint
from magnoliaroad.refusal import Refusal
from magnoliaroad.store import Store, StoreError

RETRY_DELAY_S = 0.5

DEFAULTS = KeySettings()


class KeyService(Service):
    """Validates keys against the granted and the withdrawn keys.

    Granted keys come from the configuration. Withdrawn keys are exchanged between
    peers and through the store: each host merges the sets it receives, and hosts
    that watch the store write missing ones back to it.

    Args:
        config: The configuration service, whose topology is used here too.
        store: The platform's key-value service.
        cfg: Settings of keys.
        folder: Folder to save withdrawn keys in; ``None`` disables saving.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        config: ConfigService,
        store: Store,
        cfg: KeySettings = DEFAULTS,
        folder: pathlib.Path | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self._config = config
        self._topology = config.topology
        sync_cfg = SyncSettings(config.cfg.exchange_timeout_s, config.cfg.watch_limit_s)
        self._sync = WithdrawalSync(
            sync_cfg, store, config.peers, config.topology, folder, clock
        )
        self._sync.on_new = self._signal_invalid_keys
        self._invalidation_events: dict[str, asyncio.Event] = {}
        config.on_change(self._on_config)

    @property
    def withdrawals(self) -> Withdrawals:
        """The withdrawn keys known to this host."""
        return self._sync.withdrawals

    def identify(self, key: str | None) -> Result[Caller, Refusal]:
        """Returns the caller with ``key``; without a key, a caller without a team."""
        result = self._identify(key)
        if isinstance(result, Failure):
            metrics.REFUSED.inc({"code": result.failure().code})
        return result

    def invalidation_event(self, caller: Caller) -> asyncio.Event:
        """Returns an event that is set when the caller's key becomes invalid.

        That is when the key is withdrawn or removed from the configuration.
        """
        if caller.digest and not self._is_valid(caller.digest):
            event = asyncio.Event()
            event.set()
            return event
        return self._invalidation_events.setdefault(caller.digest, asyncio.Event())

    async def on_start(self) -> None:
        """Loads withdrawn keys from the data folder and reads the store once."""
        self._sync.load()
        try:
            await self._sync.read()
        except StoreError as exc:
            logger.bind(reason=str(exc)).warning(
                "withdrawn keys not read from the store at startup"
            )

    async def confirm(self) -> None:
        """Fetches withdrawn keys from peers before the host serves requests.

        Keys are refused as not ready until the store, a peer or the data folder
        has provided the withdrawn keys.
        """
        hosts = self._topology.gossip_peers()
        await asyncio.gather(*map(self._sync.compare, hosts))

    @background_task
    async def _watch_store(self) -> None:
        while not self.should_stop:
            if not self._topology.is_watcher() or not await self._watch_once():
                await asyncio.sleep(RETRY_DELAY_S)

    async def _watch_once(self) -> bool:
        try:
            await self._sync.watch()
        except StoreError as exc:
            logger.bind(reason=str(exc)).debug("watch of withdrawn keys failed")
            return False
        return True

    @background_task
    async def _compare_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.cfg.exchange_interval_s)
            metrics.CONTACT_AGE_S.set({}, self._sync.contact_age_s())
            host = self._topology.next_gossip_peer()
            if host is not None:
                await self._sync.compare(host)

    def _identify(self, key: str | None) -> Result[Caller, Refusal]:
        if key is None:
            return Success(Caller())
        if self._config.current.revision == 0 or not self._sync.complete:
            return Failure(NOT_READY)
        digest = digest_key(key)
        if not self._is_valid(digest):
            return Failure(UNKNOWN_KEY)
        limit_s = self.cfg.cut_off_serve_s
        if limit_s is not None and self._sync.contact_age_s() > limit_s:
            return Failure(UNVERIFIED_KEY)
        grant = self._config.current.grants[digest]
        return Success(Caller(grant.team, grant.key_id, digest))

    def _is_valid(self, digest: str) -> bool:
        granted = digest in self._config.current.grants
        return granted and fingerprint(digest) not in self.withdrawals

    def _signal_invalid_keys(self) -> None:
        invalid = [d for d in self._invalidation_events if d and not self._is_valid(d)]
        for digest in invalid:
            self._invalidation_events.pop(digest).set()
            metrics.KEYS_ENDED.inc({})

    def _on_config(self, config: Config) -> None:
        self._signal_invalid_keys()
