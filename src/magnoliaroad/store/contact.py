"""Detects whether this host can reach the store."""

import asyncio
import math
import random
import time
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.store.errors import StoreError
from magnoliaroad.store.observed import ObservedStore

# Timeout of one probe: twice the response time of a store that is sixty times slower
# than usual.
PROBE_TIMEOUT_S = 0.5
# First and longest delay between probes while the store is unreachable.
RETRY_S = 0.1
RETRY_LIMIT_S = 0.8


class StoreContact(Service):
    """Probes the store after a failed call, until it responds.

    A single failed call may be an isolated error, so only the probe decides whether
    the store is lost. On a host that makes no calls, no call can fail;
    ``request_probe`` requests a probe there.

    Args:
        store: The store; each failed call on it requests a probe.
        key: Key that the probe reads.
        now: Clock in seconds.

    Attributes:
        lost: Whether the last probe failed.
        connected_since: Time at which contact was last established, by ``now``.
        on_regained: Callbacks that run when the store responds again.
    """

    def __init__(
        self, store: ObservedStore, key: str, now: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.lost = False
        self.connected_since = now()
        self._was_lost = False
        self.on_regained: list[Callable[[], None]] = []
        self._store = store
        store.on_failure = self.request_probe
        self._key = key
        self._now = now
        self._probe_requested = asyncio.Event()

    @property
    def up_s(self) -> float:
        """Seconds since contact was established; 0 while the store is lost."""
        return 0.0 if self.lost else self._now() - self.connected_since

    @property
    def last_lost_at(self) -> float:
        """Time at which the store was last out of reach, by ``now``; ``-inf`` if never.

        It is the present time while the store is lost.
        """
        if self.lost:
            return self._now()
        return self.connected_since if self._was_lost else -math.inf

    def request_probe(self) -> None:
        """Requests a probe of the store."""
        self._probe_requested.set()

    @background_task
    async def _probe_on_request(self) -> None:
        while not self.should_stop:
            # Cleared by the probe that succeeds: one that fails is made again.
            await self._probe_requested.wait()
            await self._probe_until_reached()

    async def _probe_until_reached(self) -> None:
        delay_s = RETRY_S
        while True:
            reason = await self._probe()
            if reason is None:
                break
            if not self.lost:
                logger.bind(up_s=round(self.up_s, 2), reason=reason).warning(
                    "store lost"
                )
            self.lost = self._was_lost = True
            # Jitter, so that the hosts do not all retry at the same time.
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(RETRY_LIMIT_S, 2 * delay_s)
        self._probe_requested.clear()
        if self.lost:
            self.lost = False
            self.connected_since = self._now()
            logger.info("store regained")
            for callback in self.on_regained:
                self._call(callback)

    def _call(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as exc:
            logger.opt(exception=exc).error("store's return not reported")

    async def _probe(self) -> str | None:
        """Returns why the store did not respond; ``None`` if it did."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._store.ping(self._key)
        except (StoreError, TimeoutError) as exc:
            return repr(exc)
        return None
