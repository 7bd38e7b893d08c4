"""Remembers and finds where streams have begun."""

import asyncio
from collections.abc import Callable, Collection

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.relay.stream_messages import StreamOriginReply, StreamOriginRequest
from magnoliaroad.relay.stream_origin import StreamOrigin
from magnoliaroad.relay.stream_reporter import StreamReporter
from magnoliaroad.rendezvous import rendezvous

# Record hosts that remember each stream, so that one of them may fail.
COPIES = 2
# Timeout for asking a record host, in seconds; covers a connection and a few round
# trips.
LOOKUP_TIMEOUT_S = 0.3
# Most streams whose origin a relay host remembers; it begins fewer in a minute.
MAX_STREAMS = 2_000


class StreamOrigins:
    """Finds the origin of a stream that another host may have relayed.

    A stream may be resumed only by the version of the software that began it, and
    targets do not check this. The relay host of the first attempt may have failed, so
    two record hosts, chosen by rendezvous hashing, remember the origin as well. No
    answer waits for the report: a stream whose origin is not found is not resumed.

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
        self._origins: LruCache[StreamOrigin] = LruCache(MAX_STREAMS, lambda _: 1)
        self._reporter = StreamReporter(peers)
        peers.register_replies(StreamOriginReply)

    def record(self, stream: str, origin: StreamOrigin) -> None:
        """Remembers where a stream has begun, here and on record hosts."""
        self._origins.add(stream, origin)
        self._reporter.report(self._homes(stream), stream, origin)

    async def find(self, stream: str) -> StreamOrigin | None:
        """Returns the origin of a stream; ``None`` if no host in reach knows it."""
        known = self._origins.get(stream)
        if known is not None or not stream:
            return known
        lookups = [
            asyncio.create_task(self._ask(home, stream)) for home in self._homes(stream)
        ]
        try:
            for lookup in asyncio.as_completed(lookups):
                origin = await lookup
                if origin is not None:
                    return origin
        finally:
            for task in lookups:
                task.cancel()
        return None

    def _homes(self, stream: str) -> set[str]:
        """Returns the record hosts that remember a stream.

        They are chosen among the live hosts and among all that are listed; without
        failures these are the same. Hosts that differ in which are live, as those that
        have just started do, then have one in common.
        """
        chosen = set()
        for hosts in (self._live_hosts(), self._listed_hosts()):
            chosen.update(rendezvous(stream, hosts)[:COPIES])
        return chosen

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
