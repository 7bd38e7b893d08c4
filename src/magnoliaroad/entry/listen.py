"""Addresses and ports that a host listens on."""

from typing import NamedTuple


class ListenSettings(NamedTuple):
    """Address and ports of a host.

    Attributes:
        address: IP address to listen on, reached by callers and other hosts.
        http_port: Port for callers, health and metrics; 0 picks a free one.
        peer_port: Port for messages from other hosts; 0 picks a free one.
    """

    address: str
    http_port: int
    peer_port: int
