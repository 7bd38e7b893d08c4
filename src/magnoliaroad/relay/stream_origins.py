"""Remembers and finds where streams have begun."""

import asyncio
from collections.abc import Callable, Collection

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.relay.stream_messages import (
    StreamBegun,
    StreamOriginReply,
    StreamOriginRequest,
)
from magnoliaroad.relay.stream_origin import StreamOrigin, origin_cache
from magnoliaroad.rendezvous import rendezvous

# Record hosts that remember each stream, so that one of them may fail.
COPIES = 2
# Timeout for asking a record host, in seconds; a few round trips.
LOOKUP_TIMEOUT_S = 0.1


class StreamOrigins:
    """Finds the origin of a stream that another host may have relayed.

    A stream may be resumed only by the version of the software that began it, and
    targets do not check this. The relay host of the first attempt may have failed, so
    two record hosts, chosen by rendezvous hashing, remember the origin as well. The
    report leaves before the first event does, and is not waited for: a stream whose
    origin is not found is not resumed.

    Args:
        peers: Connections between hosts.
        listed_hosts: Returns the record hosts on the store's list.
        live_hosts: Returns those with a recent heartbeat.
    """

    def __init__(
        self,
        peers: Peers,
        listed_hosts: Callable[[], Collection[str]],
        live_hosts: Callable[[], Collection[str]],
    ) -> None:
        self._peers = peers
        self._listed_hosts = listed_hosts
        self._live_hosts = live_hosts
        self._origins = origin_cache()
        peers.register_replies(StreamOriginReply)

    def record(self, stream: str, origin: StreamOrigin) -> None:
        """Remembers where a stream has begun, here and on record hosts."""
        self._origins.add(stream, origin)
        homes = _homes(stream, self._live_hosts() or self._listed_hosts())
        self._peers.send_all(homes, StreamBegun(stream, *origin))

    async def find(self, stream: str) -> StreamOrigin | None:
        """Returns the origin of a stream; ``None`` if no host knows it.

        Also asks the record hosts that this host would choose if all were live: a host
        that has just started takes resumed streams before it has all heartbeats.
        """
        known = self._origins.get(stream)
        if known is not None or not stream:
            return known
        live, listed = self._live_hosts(), self._listed_hosts()
        homes = {*_homes(stream, live), *_homes(stream, listed)}
        replies = await asyncio.gather(*(self._ask(home, stream) for home in homes))
        origins = {origin for origin in replies if origin is not None}
        if len(origins) > 1:
            logger.bind(stream=stream, origins=sorted(origins)).error(
                "origins of a stream differ"
            )
        return origins.pop() if len(origins) == 1 else None

    async def _ask(self, host: str, stream: str) -> StreamOrigin | None:
        try:
            reply = await self._peers.call_with_deadline(
                host, StreamOriginRequest(stream), LOOKUP_TIMEOUT_S
            )
        except PeerError as exc:
            logger.bind(host=host, stream=stream, reason=repr(exc)).info(
                "stream's record host not reached"
            )
            return None
        return StreamOrigin(*reply) if reply.version else None


def _homes(stream: str, record_hosts: Collection[str]) -> list[str]:
    return rendezvous(stream, record_hosts)[:COPIES]
