"""Fetches missing parts of a configuration from peers and the store."""

import asyncio
from collections.abc import Iterable

from loguru import logger

from magnoliaroad.batched import batched
from magnoliaroad.config import metrics
from magnoliaroad.config.head import ConfigHead, pack_head
from magnoliaroad.config.messages import (
    ConfigReply,
    ConfigRequest,
    PartsReply,
    PartsRequest,
)
from magnoliaroad.config.part_ref import PartRef
from magnoliaroad.config.replica import ConfigReplica
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.store import Store, StoreError

MAX_RESPONSE_BYTES = 1_000_000
MAX_CONCURRENT_PARTS = 8


class PartFetcher:
    """Fetches the parts that a replica lacks for a head.

    Args:
        replica: Replica to which fetched parts are added.
        store: Store that holds the parts.
        peers: Connections to the other hosts.
        timeout_s: Longest wait for one reply of a peer.
    """

    def __init__(
        self, replica: ConfigReplica, store: Store, peers: Peers, timeout_s: float
    ) -> None:
        self.replica = replica
        self._store = store
        self._peers = peers
        self._timeout_s = timeout_s

    async def fetch_missing(
        self, head: ConfigHead, before_store: Iterable[str], after_store: Iterable[str]
    ) -> bool:
        """Fetches the missing parts of ``head``; returns whether none is missing.

        Args:
            head: Head whose parts are fetched.
            before_store: Hosts to try before the store.
            after_store: Hosts to try for parts that the store lacks or fails to
                return.
        """
        await self._fetch_from_peers(before_store, head)
        missing = self.replica.missing(head)
        for batch in batched(missing, MAX_CONCURRENT_PARTS):
            if not all(await asyncio.gather(*map(self._fetch_from_store, batch))):
                break
        await self._fetch_from_peers(after_store, head)
        return not self.replica.missing(head)

    async def _fetch_from_peers(self, hosts: Iterable[str], head: ConfigHead) -> None:
        for host in hosts:
            if not self.replica.missing(head):
                return
            await self._fetch_from_peer(host, head)

    async def _fetch_from_peer(self, host: str, head: ConfigHead) -> None:
        while missing := self.replica.missing(head):
            request = PartsRequest(tuple(ref.digest for ref in missing))
            try:
                reply = await self._peers.call(host, request, self._timeout_s)
                self._add_parts(reply)
            except (PeerError, ValueError) as exc:
                logger.bind(host=host, reason=str(exc)).debug(
                    "configuration parts not received from peer"
                )
                return
            if len(self.replica.missing(head)) == len(missing):
                return

    def _add_parts(self, reply: PartsReply) -> None:
        for data in reply.parts:
            self.replica.add(data)

    async def _fetch_from_store(self, ref: PartRef) -> bool:
        metrics.STORE_CALLS.inc({"operation": "get"})
        try:
            entry = await self._store.get(ref.key)
            if entry is None:
                return False
            self.replica.add(entry.value)
        except (StoreError, ValueError) as exc:
            logger.bind(key=ref.key, reason=str(exc)).debug(
                "configuration part not read from the store"
            )
            return False
        return True


def answer_config_request(
    replica: ConfigReplica, request: ConfigRequest
) -> ConfigReply:
    """Returns the head if it is newer, with the parts that the sender may lack.

    These are the parts that were written after the revision in the request.
    """
    head = replica.head
    if head.revision <= request.revision:
        return ConfigReply(head.revision)
    digests = (ref.digest for ref in head.parts if ref.base >= request.revision)
    return ConfigReply(
        head.revision, pack_head(head), _limit_size(replica.parts(digests))
    )


def answer_parts_request(replica: ConfigReplica, request: PartsRequest) -> PartsReply:
    """Returns the requested parts, up to the size limit of one reply."""
    return PartsReply(_limit_size(replica.parts(request.digests)))


def _limit_size(parts: list[bytes]) -> tuple[bytes, ...]:
    chosen: list[bytes] = []
    size = 0
    for data in parts:
        size += len(data)
        if chosen and size > MAX_RESPONSE_BYTES:
            break
        chosen.append(data)
    return tuple(chosen)
