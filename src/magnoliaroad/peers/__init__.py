"""Messages between hosts over msgpack streams."""

from magnoliaroad.peers.address import PeerAddress
from magnoliaroad.peers.catalogue import (
    MessageCatalogue,
    UnknownMessage,
    message_tag,
)
from magnoliaroad.peers.errors import PeerError
from magnoliaroad.peers.interface import Handler, Peers
from magnoliaroad.peers.service import PeerService

__all__ = [
    "Handler",
    "MessageCatalogue",
    "PeerAddress",
    "PeerError",
    "PeerService",
    "Peers",
    "UnknownMessage",
    "message_tag",
]
