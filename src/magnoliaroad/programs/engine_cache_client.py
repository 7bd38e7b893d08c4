"""Releases ended programs on the engines of this host's groups."""

import asyncio
from collections import defaultdict
from typing import Any

import msgspec
from loguru import logger

from magnoliaroad.batched import batched
from magnoliaroad.config import ConfigService, RouteKind, Target
from magnoliaroad.decoding import Undecodable, decode_json
from magnoliaroad.groups import Groups
from magnoliaroad.programs import metrics
from magnoliaroad.programs.messages import (
    ProgramLivenessReply,
    ProgramLivenessRequest,
    ReleaseReply,
    ReleaseRequest,
)
from magnoliaroad.programs.owner_client import OwnerClient
from magnoliaroad.programs.releaser import target_group
from magnoliaroad.programs.settings import ProgramSettings
from magnoliaroad.targets import TargetClient, TargetError, TargetRequest

# Largest number of programs in one release request.
MAX_PROGRAMS_PER_RELEASE = 500


class EngineCacheClient:
    """Sends release requests with the fencing token of the engine's group.

    Only the owner of an engine's group sends them, so the tokens that an engine
    receives only increase. Some engines do not check the token, so a request is
    sent only while this host may act for the group.
    """

    def __init__(
        self,
        cfg: ProgramSettings,
        groups: Groups,
        config: ConfigService,
        targets: TargetClient,
        client: OwnerClient,
    ) -> None:
        self.cfg = cfg
        self._groups = groups
        self._config = config
        self._targets = targets
        self._client = client
        self._dead_last_sweep: dict[str, set[str]] = {}

    async def release(self, request: ReleaseRequest) -> ReleaseReply:
        """Releases programs on a target and returns those that it confirmed."""
        target = self._config.current.targets.get(request.target)
        if target is None:
            return ReleaseReply(())
        released: list[str] = []
        for programs in batched(request.programs, MAX_PROGRAMS_PER_RELEASE):
            if await self._send_release(target, programs):
                released += programs
        return ReleaseReply(tuple(released))

    async def sweep(self) -> None:
        """Releases programs that engines still hold although they are dead."""
        engines = self._owned_engines()
        for name in set(self._dead_last_sweep) - {engine.name for engine in engines}:
            del self._dead_last_sweep[name]
        await asyncio.gather(*(self._sweep_engine(engine) for engine in engines))

    def _owned_engines(self) -> list[Target]:
        """Returns the engines whose groups this host may act for now."""
        config = self._config.current
        return [
            target
            for target in config.targets.values()
            if target.route in config.routes
            and config.routes[target.route].kind == RouteKind.ENGINE
            and self._fence(target) is not None
        ]

    def _fence(self, target: Target) -> int | None:
        group = target_group(self._groups, target.name, target.data_centre)
        return self._groups.fence(group)

    async def _sweep_engine(self, engine: Target) -> None:
        """Releases the programs that two sweeps in a row found dead."""
        cached = await self._send_request(engine, "GET", "/v1/cache/programs")
        if cached is None:
            return
        dead = await self._find_dead(set(cached.get("programs", ())) - {""})
        dead_twice = dead & self._dead_last_sweep.get(engine.name, set())
        self._dead_last_sweep[engine.name] = dead - dead_twice
        for programs in batched(tuple(sorted(dead_twice)), MAX_PROGRAMS_PER_RELEASE):
            if await self._send_release(engine, programs):
                metrics.SWEPT_PROGRAMS.add({}, len(programs))
                logger.bind(programs=programs, target=engine.name).warning(
                    "engine held memory of ended programs"
                )

    async def _find_dead(self, programs: set[str]) -> set[str]:
        by_owner: dict[str, list[str]] = defaultdict(list)
        for program in programs:
            owner = self._client.owner_of(program)
            if owner is not None:
                by_owner[owner].append(program)
        dead: set[str] = set()
        for owner, names in by_owner.items():
            request = ProgramLivenessRequest(tuple(sorted(names)))
            reply = await self._client.call(owner, request, self.cfg.engine_timeout_s)
            if isinstance(reply, ProgramLivenessReply):
                dead |= set(reply.dead)
        return dead

    async def _send_release(self, target: Target, programs: tuple[str, ...]) -> bool:
        fence = self._fence(target)
        if fence is None:
            return False
        body = {"programs": programs, "fence": fence}
        reply = await self._send_request(target, "POST", "/v1/cache/release", body)
        return reply is not None

    async def _send_request(
        self, target: Target, method: str, path: str, body: Any = None
    ) -> Any:
        """Returns the JSON reply of ``target``; ``None`` on an error or a non-200."""
        req = TargetRequest(
            method,
            f"{target.url}{path}",
            {"Content-Type": "application/json"},
            b"" if body is None else msgspec.json.encode(body),
        )
        try:
            async with asyncio.timeout(self.cfg.engine_timeout_s):
                reply = await self._targets.open(req)
                try:
                    data = b"".join([chunk async for chunk in reply.iter_chunks()])
                finally:
                    reply.close()
                return decode_json(data) if reply.status == 200 else None
        except (TargetError, TimeoutError, Undecodable) as exc:
            logger.bind(target=target.name, reason=str(exc)).debug("no answer")
            return None
