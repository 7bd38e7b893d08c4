"""The interface for messages between hosts."""

import abc
import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from magnoliaroad.peers.address import PeerAddress
from magnoliaroad.peers.errors import PeerError
from magnoliaroad.verdict import Verdict

Handler = Callable[[str, Any], Any]


class Peers(abc.ABC):
    """Sends typed messages to other hosts and dispatches received ones."""

    @abc.abstractmethod
    def on(self, kind: Any, handler: Handler, reply: Any = None) -> None:
        """Registers ``handler(sender, message)`` for messages of type ``kind``.

        Args:
            kind: ``NamedTuple`` type of the message.
            handler: Coroutine function that returns the reply, or ``None`` for
                one-way messages. Or a plain function that does the same, which is
                called at once, in the order of the messages' arrival.
            reply: ``NamedTuple`` type of the reply.
        """

    @abc.abstractmethod
    def register_replies(self, *replies: Any) -> None:
        """Registers types of replies that no handler of this host returns."""

    @abc.abstractmethod
    async def call(
        self, host: str, message: Any, timeout_s: float | None = None
    ) -> Any:
        """Sends ``message`` to ``host`` and returns its reply.

        Raises:
            PeerError: No reply arrived; the verdict states whether the peer may
                have processed the message.
        """

    async def call_with_deadline(self, host: str, message: Any, limit_s: float) -> Any:
        """Like ``call``, but ``limit_s`` includes the time to connect.

        Raises:
            PeerError: As in ``call``.
        """
        try:
            async with asyncio.timeout(limit_s):
                return await self.call(host, message, limit_s)
        except TimeoutError as exc:
            text = f"{host}: no reply within {limit_s} s"
            raise PeerError(text, Verdict.MAY_HAVE_RUN) from exc

    @abc.abstractmethod
    def send(self, host: str, message: Any) -> None:
        """Sends ``message`` without a reply; it may be lost without an error."""

    def send_all(self, hosts: Iterable[str], message: Any) -> None:
        """Sends ``message`` to each of ``hosts`` without a reply."""
        for host in hosts:
            self.send(host, message)

    @abc.abstractmethod
    def set_addresses(self, addresses: list[PeerAddress]) -> None:
        """Replaces the known addresses of other hosts."""

    @abc.abstractmethod
    def addresses(self) -> list[PeerAddress]:
        """Returns the known addresses of other hosts."""
