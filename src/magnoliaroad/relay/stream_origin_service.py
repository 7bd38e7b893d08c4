"""Remembers on a record host where streams have begun."""

import sys

from loguru import logger

from magnoliaroad.peers import Peers
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.relay.stream_messages import (
    StreamOriginReply,
    StreamOriginRequest,
    StreamsBegun,
)
from magnoliaroad.relay.stream_origin import StreamOrigin

# Most streams that are remembered. In the largest fleet some 250 begin in a second, and
# callers resume a stream within seconds.
MAX_STREAMS = 20_000


class StreamOriginService:
    """Answers relay hosts from memory; a restart forgets the streams."""

    def __init__(self, peers: Peers) -> None:
        self._origins: LruCache[StreamOrigin] = LruCache(MAX_STREAMS, lambda _: 1)
        peers.on(StreamsBegun, self._on_begun)
        peers.on(StreamOriginRequest, self._on_request, StreamOriginReply)

    def _on_begun(self, sender: str, begun: StreamsBegun) -> None:
        for stream, service, version in begun.streams:
            # Few names are shared by all streams.
            origin = StreamOrigin(sys.intern(service), sys.intern(version))
            self._origins.add(stream, origin)

    def _on_request(self, sender: str, req: StreamOriginRequest) -> StreamOriginReply:
        origin = self._origins.get(req.stream)
        logger.bind(stream=req.stream, host=sender, origin=origin).info(
            "stream looked up"
        )
        return (
            StreamOriginReply("", "") if origin is None else StreamOriginReply(*origin)
        )
