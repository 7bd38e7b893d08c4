"""Sends claims of budgets to the hosts that write them to the store."""

import time
from collections.abc import Callable

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.relay.claim_messages import (
    ClaimOutcome,
    ClaimWriteReply,
    ClaimWriteRequest,
)
from magnoliaroad.relay.claim_writer import PREFIX, ClaimWriter
from magnoliaroad.rendezvous import highest_ranked
from magnoliaroad.store import StoreConflict, StoreEntry, StoreError
from magnoliaroad.store.keys import key_of

# Time that a writer host may take beyond its interval between two batches: ten usual
# replies of the store, so that this host still has time to write the claim itself.
WRITE_MARGIN_S = 0.1
# Time for which no claims are sent to a host that failed to write one. By then its
# peers have detected that it has failed or lost the store.
WRITER_COOLDOWN_S = 1.0


class ClaimRouter:
    """Sends claims to a few writer hosts, which write many claims in one call.

    If a writer host fails, this host writes the claim itself. If both write it, the
    second write conflicts with the first and returns its record.

    Args:
        name: Name of this host.
        own: Writes the claims that this host is to write itself.
        peers: Connections between hosts.
        writer_hosts: Returns the hosts that write for others.
        now: Clock in seconds.
    """

    def __init__(
        self,
        name: str,
        own: ClaimWriter,
        peers: Peers,
        writer_hosts: Callable[[], list[str]],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._own = own
        self._peers = peers
        self._writer_hosts = writer_hosts
        self._now = now
        self._cooldown_until: dict[str, float] = {}
        peers.on(ClaimWriteRequest, self._on_claim, ClaimWriteReply)

    async def write(self, claim: ClaimWriteRequest) -> int:
        """Has ``claim`` written and returns the revision of the written record.

        Raises:
            StoreConflict: The record is not at the expected revision.
            StoreError: The record may have been written or not.
        """
        host = highest_ranked(claim.program, self._writer_hosts())
        if host is not None and host != self._name and not self._in_cooldown(host):
            reply = await self._send(host, claim)
            if reply is not None and reply.outcome == ClaimOutcome.WRITTEN:
                return reply.revision
            if reply is not None and reply.outcome == ClaimOutcome.CONFLICT:
                key = key_of(PREFIX, claim.program)
                entry = StoreEntry(key, reply.value, reply.revision)
                raise StoreConflict(key, entry if reply.revision else None)
            self._cooldown_until[host] = self._now() + WRITER_COOLDOWN_S
        return await self._own.write(claim)

    def _in_cooldown(self, host: str) -> bool:
        return self._cooldown_until.get(host, 0.0) > self._now()

    async def _send(
        self, host: str, claim: ClaimWriteRequest
    ) -> ClaimWriteReply | None:
        timeout_s = self._own.cfg.claim_gap_s + WRITE_MARGIN_S
        try:
            return await self._peers.call_with_deadline(host, claim, timeout_s)
        except PeerError as exc:
            logger.bind(host=host, program=claim.program, reason=repr(exc)).info(
                "claim not written by its host"
            )
            return None

    async def _on_claim(self, sender: str, claim: ClaimWriteRequest) -> ClaimWriteReply:
        try:
            return ClaimWriteReply(ClaimOutcome.WRITTEN, await self._own.write(claim))
        except StoreConflict as exc:
            entry = exc.current or StoreEntry("", b"", 0)
            return ClaimWriteReply(ClaimOutcome.CONFLICT, entry.revision, entry.value)
        except StoreError:
            return ClaimWriteReply(ClaimOutcome.FAILED)
