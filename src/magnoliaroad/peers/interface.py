"""What other parts may ask of the connections between hosts."""

import abc
import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from magnoliaroad.peers.address import PeerAddress
from magnoliaroad.peers.errors import PeerError
from magnoliaroad.verdict import Verdict

Handler = Callable[[str, Any], Any]


class Peers(abc.ABC):
    """Sends typed messages to other hosts and hands theirs to handlers."""

    @abc.abstractmethod
    def on(self, kind: Any, handler: Handler, reply: Any = None) -> None:
        """Has ``handler(sender, message)`` called for messages of ``kind``.

        Args:
            kind: ``NamedTuple`` type of the message.
            handler: Coroutine function that returns the reply, or ``None`` for
                one-way messages; or a plain function for one-way messages, which is
                called as they arrive.
            reply: ``NamedTuple`` type of the reply.
        """

    @abc.abstractmethod
    def expect(self, *replies: Any) -> None:
        """Makes types of replies known that no handler of this host gives."""

    @abc.abstractmethod
    async def call(
        self, host: str, message: Any, timeout_s: float | None = None
    ) -> Any:
        """Sends ``message`` to ``host`` and returns its reply.

        Raises:
            PeerError: No reply came; its verdict says whether the peer may
                have acted on the message.
        """

    async def call_within(self, host: str, message: Any, limit_s: float) -> Any:
        """Does as ``call``; the limit holds for connecting, too.

        Raises:
            PeerError: As for ``call``.
        """
        try:
            async with asyncio.timeout(limit_s):
                return await self.call(host, message, limit_s)
        except TimeoutError as exc:
            text = f"{host}: no reply within {limit_s} s"
            raise PeerError(text, Verdict.MAY_HAVE_RUN) from exc

    @abc.abstractmethod
    def send(self, host: str, message: Any) -> None:
        """Sends ``message`` one way; it may be lost without notice."""

    def send_all(self, hosts: Iterable[str], message: Any) -> None:
        """Sends ``message`` one way to each of ``hosts``."""
        for host in hosts:
            self.send(host, message)

    @abc.abstractmethod
    def learn(self, addresses: list[PeerAddress]) -> None:
        """Replaces the known addresses of other hosts."""

    @abc.abstractmethod
    def addresses(self) -> list[PeerAddress]:
        """Returns the known addresses of other hosts."""
