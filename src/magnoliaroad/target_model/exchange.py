"""Exchanges the pace of targets between hosts."""

import asyncio
import random
import time
from collections.abc import Callable, Collection

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.target_model.messages import PaceReport, PaceRequest
from magnoliaroad.target_model.model import TargetModel

# Time between two reports of a host, in seconds. A host of a large fleet serves few
# streams, so that by itself it would learn the pace of its data centre's targets in
# ten seconds. A report has some twenty bytes for each target.
REPORT_INTERVAL_S = 1.0
# Longest wait for the estimates of a peer at the start, in seconds.
ANSWER_TIMEOUT_S = 0.3
# Most peers that are asked for their estimates; those of the build before cannot
# answer, and meanwhile this host has learnt most by itself.
MAX_ASKED = 5


class PaceExchange(Service):
    """Sends this host's estimates of targets to random peers of the data centre.

    Only for services whose streams are placed by their expected end. A host that starts
    asks one peer for all that it knows.

    Args:
        model: The model of the targets.
        peers: Connections between hosts.
        near_contacts: Returns the other hosts of the data centre in contact.
    """

    def __init__(
        self,
        model: TargetModel,
        peers: Peers,
        near_contacts: Callable[[], Collection[str]],
    ) -> None:
        super().__init__()
        self._model = model
        self._peers = peers
        self._near_contacts = near_contacts
        self._questions_left = MAX_ASKED
        peers.on(PaceReport, self._on_report)
        peers.on(PaceRequest, self._on_request, PaceReport)

    @background_task
    async def _exchange(self) -> None:
        while not self.should_stop:
            # Jitter, so that hosts that started together do not report together.
            await asyncio.sleep(REPORT_INTERVAL_S * random.uniform(0.5, 1.5))
            now = time.monotonic()
            if not any(self._model.is_active(s, now) for s in self._model.services()):
                continue
            contacts = list(self._near_contacts())
            if not contacts:
                continue
            peer = random.choice(contacts)
            if self._questions_left:
                await self._ask(peer)
            report = self._model.report(now)
            if report.paces:
                self._peers.send(peer, report)

    async def _ask(self, peer: str) -> None:
        self._questions_left -= 1
        try:
            reply = await self._peers.call_with_deadline(
                peer, PaceRequest(), ANSWER_TIMEOUT_S
            )
        except PeerError as exc:
            logger.bind(peer=peer, reason=repr(exc)).info("pace of targets not told")
            return
        self._questions_left = 0
        self._on_report(peer, reply)
        logger.bind(peer=peer, targets=len(reply.paces)).info("pace of targets told")

    def _on_report(self, sender: str, report: PaceReport) -> None:
        self._model.merge(report, time.monotonic())

    def _on_request(self, sender: str, req: PaceRequest) -> PaceReport:
        return self._model.report_all(time.monotonic())
