"""Fakes of ``Peers`` on a seeded wire, in one event loop."""

import asyncio
import inspect

from typing_extensions import override

from magnoliaroad.peers import MessageCatalogue, PeerAddress, PeerError, Peers
from magnoliaroad.verdict import Verdict
from tests.fakes.wire import Wire


class PeerNetwork:
    """Fakes of ``Peers`` that reach each other over one ``Wire``.

    Delays use the clock of the event loop, so with a ``VirtualTimeLoop`` tests are
    deterministic.
    """

    def __init__(self, wire: Wire | None = None) -> None:
        self.wire = wire or Wire()
        self.hosts: dict[str, FakePeers] = {}

    def join(self, host: str, data_centre: str = "kolkata-1") -> "FakePeers":
        """Adds a host, or replaces the one of the same name (a restart)."""
        self.hosts[host] = FakePeers(self, host, data_centre)
        for name, peers in self.hosts.items():
            peers.known = [
                other.me for other in self.hosts.values() if other.me.host != name
            ]
        return self.hosts[host]

    def crash(self, host: str) -> None:
        """Removes the host; its peers keep its address."""
        del self.hosts[host]


class FakePeers(Peers):
    """One host of a ``PeerNetwork``.

    Attributes:
        me: Address of this host.
        known: Known addresses of the other hosts.
        sent: Number of messages sent, by message tag.
    """

    def __init__(self, network: PeerNetwork, host: str, data_centre: str) -> None:
        self.me = PeerAddress(host, data_centre, "127.0.0.1", 0)
        self.known: list[PeerAddress] = []
        self.sent: dict[str, int] = {}
        self._network = network
        self._catalogue = MessageCatalogue()
        self._handlers = {}

    @override
    def on(self, kind, handler, reply=None):
        self._catalogue.add(kind)
        if reply is not None:
            self._catalogue.add(reply)
        self._handlers[kind] = handler

    @override
    async def call(self, host, message, timeout_s=None):
        if host not in {known.host for known in self.known}:
            raise PeerError(f"no address of host {host!r}", Verdict.NOT_RUN)
        fut = asyncio.get_running_loop().create_future()
        self._transmit(host, message, fut)
        try:
            return await asyncio.wait_for(fut, timeout_s or 2.0)
        except TimeoutError as exc:
            raise PeerError("no reply", Verdict.MAY_HAVE_RUN) from exc

    @override
    def send(self, host, message):
        self._transmit(host, message, None)

    @override
    def register_replies(self, *replies):
        for kind in replies:
            self._catalogue.add(kind)

    @override
    def set_addresses(self, addresses):
        self.known = [known for known in addresses if known.host != self.me.host]

    @override
    def addresses(self):
        return list(self.known)

    def _transmit(self, host, message, fut):
        packed = self._catalogue.pack(message)
        self.sent[packed[0]] = self.sent.get(packed[0], 0) + 1
        for delay_s in self._network.wire.delays(self.me.host, host):
            asyncio.get_running_loop().call_later(
                delay_s, self._deliver, host, packed, fut
            )

    def _deliver(self, host, packed, fut):
        peer = self._network.hosts.get(host)
        if peer is not None:
            asyncio.ensure_future(peer._call_handler(self, packed, fut))

    async def _call_handler(self, sender, packed, fut):
        message = self._catalogue.unpack(*packed)
        reply = self._handlers[type(message)](sender.me.host, message)
        if inspect.isawaitable(reply):
            reply = await reply
        if fut is None:
            return
        packed = None if reply is None else self._catalogue.pack(reply)
        for delay_s in self._network.wire.delays(self.me.host, sender.me.host):
            asyncio.get_running_loop().call_later(
                delay_s, sender._complete, fut, packed
            )

    def _complete(self, fut, packed):
        if not fut.done():
            fut.set_result(None if packed is None else self._catalogue.unpack(*packed))
