"""Fakes of the interfaces, shared by all tests."""

from tests.fakes.loop import VirtualTimeLoop
from tests.fakes.peers import FakePeers, PeerNetwork
from tests.fakes.wire import Delivery, Wire, WireFaults

__all__ = [
    "Delivery",
    "FakePeers",
    "PeerNetwork",
    "VirtualTimeLoop",
    "Wire",
    "WireFaults",
]
