"""Polls engines for their load and cache events."""

import asyncio
import time
from typing import Self

import aiohttp

from magnoliaroad.config import Target
from magnoliaroad.routing import metrics
from magnoliaroad.routing.cache_event_applier import CacheEventApplier
from magnoliaroad.routing.load_report import LoadReport
from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.routing.target_tracker import TargetTracker

REQUEST_TIMEOUT_S = 1.0


class EnginePoller:
    """Updates the target tracker with the load and cache events of engines.

    Args:
        cfg: Settings of placement.
        tracker: State of targets to update.
    """

    def __init__(self, cfg: RoutingSettings, tracker: TargetTracker) -> None:
        self.cfg = cfg
        self.tracker = tracker
        self._appliers: dict[str, CacheEventApplier] = {}
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *exc_info) -> None:
        assert self._session is not None
        await self._session.close()

    async def poll(self, targets: list[Target]) -> None:
        """Polls each target once; targets that do not answer are skipped."""
        await asyncio.gather(*(self._poll(target) for target in targets))

    async def _poll(self, target: Target) -> None:
        applier = self._appliers.setdefault(
            target.name, CacheEventApplier(target.name, self.tracker.prefixes)
        )
        try:
            load = await self._get(f"{target.url}/v1/load")
            path = f"/v1/cache/events?after={applier.last_number}"
            answer = await self._get(target.url + path)
            report = LoadReport(int(load["running"]), int(load["waiting"]))
            events = [(int(n), bool(s), int(d)) for n, s, d in answer["events"]]
            last = int(answer["last"])
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError):
            return
        now = time.monotonic()
        self.tracker.loads.update_report(target.name, report, now)
        if last < applier.last_number:
            applier.restart(now)
            return
        lost = applier.apply(events, now)
        if lost:
            metrics.LOST_EVENTS.add({"target": target.name}, lost)

    async def _get(self, url: str):
        assert self._session is not None
        async with self._session.get(url) as resp:
            resp.raise_for_status()
            return await resp.json()
