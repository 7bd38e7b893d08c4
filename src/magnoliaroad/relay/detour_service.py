"""Sends requests to targets for peers that cannot reach them."""

import asyncio
import time
from collections.abc import Callable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.in_flight import InFlightRequests
from magnoliaroad.peers import Peers
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.detour import Detour
from magnoliaroad.relay.detour_failure import failure_of, peer_unable
from magnoliaroad.relay.detour_messages import (
    DetourEnd,
    DetourFailure,
    DetourFailureKind,
    DetourHead,
    DetourPart,
    DetourRead,
    DetourRequest,
    pack_headers,
    unpack_headers,
    unpack_text,
)
from magnoliaroad.relay.dialect import Dialect
from magnoliaroad.relay.direct_sender import DirectSender
from magnoliaroad.relay.metrics import DETOURS
from magnoliaroad.relay.open_answer import OpenAnswer
from magnoliaroad.relay.request_memory import RequestMemory
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_paths import TargetPaths
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.targets import TargetError, TargetRequest

# Most requests of peers that a host sends at the same time; its own callers share the
# connections to targets.
MAX_DETOURS = 128
# Why a host whose requests hold too much sends none of a peer.
NO_MEMORY = "requests hold too much memory"
# Time without a read after which an answer is dropped, in seconds: well above the
# longest pause that callers are allowed to make in reading.
ABANDONED_S = 30.0
# Time between checks for abandoned answers, in seconds.
CHECK_INTERVAL_S = 1.0


class DetourService(Service):
    """Sends the requests of peers and holds the answers until they are read.

    Args:
        peers: Connections between hosts.
        dialect: Reads the headers of answers.
        table: The targets that this host knows.
        paths: The services that this host cannot reach either.
        sender: Sends the requests.
        in_flight: Counts them with the requests of this host's callers.
        memory: Bounds the bodies of requests, also those of callers.
        helps_peers: Returns whether this host sends requests for peers at all.
        is_lost: Returns whether a peer is out of contact for good.
    """

    def __init__(
        self,
        peers: Peers,
        dialect: Dialect,
        table: TargetTable,
        paths: TargetPaths,
        sender: DirectSender,
        in_flight: InFlightRequests,
        memory: RequestMemory,
        helps_peers: Callable[[], bool],
        is_lost: Callable[[str], bool],
    ) -> None:
        super().__init__()
        self._dialect = dialect
        self._table = table
        self._paths = paths
        self._sender = sender
        self._in_flight = in_flight
        self._memory = memory
        self._helps_peers = helps_peers
        self._is_lost = is_lost
        self._detours: dict[tuple[str, str], Detour] = {}
        peers.on(DetourRequest, self._on_request, DetourHead)
        peers.on(DetourRead, self._on_read, DetourPart)
        peers.on(DetourEnd, self._on_end)
        peers.register_replies(DetourFailure)

    async def on_stop(self) -> None:
        """Drops all answers."""
        for key in list(self._detours):
            self._drop(key)

    @background_task
    async def _drop_abandoned(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            for (host, token), detour in list(self._detours.items()):
                if detour.idle_s(now) > ABANDONED_S or self._is_lost(host):
                    logger.bind(
                        request=detour.request_id,
                        peer=host,
                        idle_s=round(detour.idle_s(now), 3),
                    ).warning("request of a peer dropped")
                    self._drop((host, token))

    async def _on_request(
        self, host: str, message: DetourRequest
    ) -> DetourHead | DetourFailure:
        target = self._table.targets.get(message.target)
        refusal = self._why_unable(message, target)
        if target is None or refusal:
            self._log(host, message, refusal)
            return peer_unable(refusal)
        with self._memory.hold() as held:
            try:
                held.grow(len(message.body))
            except Refused:
                self._log(host, message, NO_MEMORY)
                return peer_unable(NO_MEMORY)
            return await self._open(host, message, target)

    async def _open(
        self, host: str, message: DetourRequest, target: RelayTarget
    ) -> DetourHead | DetourFailure:
        key = host, message.token
        detour = self._detours[key] = Detour(message.request_id, self._in_flight)
        try:
            head = await self._send(detour, target, message)
        except TargetError as exc:
            self._drop(key)
            failure = failure_of(exc)
            self._log(host, message, f"{failure.kind}: {failure.reason}")
            return failure
        except BaseException:
            self._drop(key)
            raise
        self._log(host, message, "")
        return head

    def _why_unable(self, message: DetourRequest, target: RelayTarget | None) -> str:
        """Returns why this host does not send a request; empty if it does."""
        start = message.address, message.started_ms
        if not self._helps_peers():
            return "stops or is slow"
        if len(self._detours) >= MAX_DETOURS:
            return f"sends {MAX_DETOURS} requests of peers"
        if message.limit_s <= 0:
            return "too late"
        if target is None or (target.address, target.started_ms) != start:
            return "target unknown"
        if target.state is not TargetState.READY or target in self._table.leaving:
            return "target leaves"
        if target.data_centre in self._table.evacuations:
            return "data centre of the target is evacuated"
        if self._paths.is_cut(target.service):
            return "cut off from the targets"
        if not unpack_text(message.url).startswith(f"http://{target.address}/"):
            return "address of another target"
        return ""

    async def _send(
        self, detour: Detour, target: RelayTarget, message: DetourRequest
    ) -> DetourHead:
        request = TargetRequest(
            message.method,
            unpack_text(message.url),
            unpack_headers(message.headers),
            message.body,
        )
        response = await self._sender.open(target, request, message.limit_s)
        head = self._dialect.read_answer(response.headers)
        # Before other tasks run: the connection may go back to the pool with bytes of
        # another answer.
        OpenAnswer(target, response, head).check_owner(message.request_id)
        detour.begin(response)
        return DetourHead(response.status, pack_headers(response.headers))

    async def _on_read(
        self, host: str, message: DetourRead
    ) -> DetourPart | DetourFailure:
        key = host, message.token
        detour = self._detours.get(key)
        if detour is None:
            reason = "the answer was dropped"
            return DetourFailure(DetourFailureKind.BAD_ANSWER.value, True, reason)
        try:
            part = await detour.read()
        except TargetError as exc:
            self._drop(key)
            failure = failure_of(exc)
            logger.bind(
                request=detour.request_id, peer=host, failure=failure.reason
            ).info("answer for a peer cut off")
            return failure
        if part.ended:
            self._drop(key)
        return part

    async def _on_end(self, host: str, message: DetourEnd) -> None:
        self._drop((host, message.token))

    def _drop(self, key: tuple[str, str]) -> None:
        detour = self._detours.pop(key, None)
        if detour is not None:
            detour.end()

    def _log(self, host: str, message: DetourRequest, failure: str) -> None:
        outcome = "failed" if failure else "answered"
        DETOURS.inc({"role": "helper", "outcome": outcome})
        logger.bind(
            request=message.request_id,
            peer=host,
            target=message.target,
            failure=failure,
        ).info("request of a peer")
