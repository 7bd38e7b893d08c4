"""Whether this host reaches the store."""

import asyncio
import random
import time
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.store.errors import StoreError
from magnoliaroad.store.observed import ObservedStore

# Longest wait for an answer that shows contact: twice that of a store that answers
# sixty times as slowly as usual.
PROBE_TIMEOUT_S = 0.5
# First and longest time between questions while the store is out of reach.
RETRY_S = 0.1
RETRY_LIMIT_S = 0.8


class StoreContact(Service):
    """Asks the store after a call has failed, until it answers.

    One lost answer says little, so only this question decides. A host that makes no
    call notices nothing; ``doubt`` makes it ask.

    Args:
        store: The store, whose failures make it be asked.
        key: Entry that is read to see whether the store answers.
        now: Clock in seconds.

    Attributes:
        lost: Whether the store was out of reach when it was last asked.
        since: Time at which contact began, by ``now``.
        on_regained: Are called when the store answers again.
    """

    def __init__(
        self, store: ObservedStore, key: str, now: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.lost = False
        self.since = now()
        self.on_regained: list[Callable[[], None]] = []
        self._store = store
        store.on_failure = self.doubt
        self._key = key
        self._now = now
        self._probe_requested = asyncio.Event()

    @property
    def up_s(self) -> float:
        """Time since contact began; 0 while there is none."""
        return 0.0 if self.lost else self._now() - self.since

    def doubt(self) -> None:
        """Makes the store be asked soon."""
        self._probe_requested.set()

    @Service.task
    async def _probe_on_request(self) -> None:
        while not self.should_stop:
            await self._probe_requested.wait()
            self._probe_requested.clear()
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
            self.lost = True
            # Spread, so that the hosts do not come back together.
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(RETRY_LIMIT_S, 2 * delay_s)
        self._probe_requested.clear()
        if self.lost:
            self.lost = False
            self.since = self._now()
            logger.info("store regained")
            for callback in self.on_regained:
                callback()

    async def _probe(self) -> str | None:
        """Returns why the store did not answer; ``None`` if it did."""
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._store.ping(self._key)
        except (StoreError, TimeoutError) as exc:
            return repr(exc)
        return None
