"""Remembers on a record host where streams have begun."""

from loguru import logger

from magnoliaroad.peers import Peers
from magnoliaroad.relay.stream_messages import (
    StreamBegun,
    StreamOriginReply,
    StreamOriginRequest,
)
from magnoliaroad.relay.stream_origin import StreamOrigin, origin_cache


class StreamOriginService:
    """Answers relay hosts from memory; a restart forgets the streams."""

    def __init__(self, peers: Peers) -> None:
        self._origins = origin_cache()
        peers.on(StreamBegun, self._on_begun)
        peers.on(StreamOriginRequest, self._on_request, StreamOriginReply)

    def _on_begun(self, sender: str, begun: StreamBegun) -> None:
        self._origins.add(begun.stream, StreamOrigin(begun.service, begun.version))

    async def _on_request(
        self, sender: str, req: StreamOriginRequest
    ) -> StreamOriginReply:
        origin = self._origins.get(req.stream)
        logger.bind(stream=req.stream, host=sender, origin=origin).info(
            "stream looked up"
        )
        return (
            StreamOriginReply("", "") if origin is None else StreamOriginReply(*origin)
        )
