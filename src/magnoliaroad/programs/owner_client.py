"""Sends requests about programs to the hosts that own them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger

from magnoliaroad.groups import Groups
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.programs.ids import home_of, root_of
from magnoliaroad.programs.settings import ProgramSettings

# Interval at which a pending request checks whether the owner has changed.
OWNER_CHECK_INTERVAL_S = 0.25

Handler = Callable[[Any], Awaitable[Any]]


class OwnerClient:
    """Sends requests to the owner of a program, with retries until one replies.

    The owner may be this host or another one.

    Args:
        cfg: Settings of programs.
        host: Name of this host.
        groups: Provides the owners of groups.
        peers: Sends messages to other hosts.
    """

    def __init__(
        self, cfg: ProgramSettings, host: str, groups: Groups, peers: Peers
    ) -> None:
        self.cfg = cfg
        self.host = host
        self._groups = groups
        self._peers = peers
        self._local_handlers: dict[type, Handler] = {}

    def on(self, kind: Any, handler: Handler, reply: Any) -> None:
        """Registers ``handler`` for messages of ``kind`` that are sent to this host."""

        async def handle(sender: str, message: Any) -> Any:
            return await handler(message)

        self._local_handlers[kind] = handler
        self._peers.on(kind, handle, reply=reply)

    def owner_of(self, program: str) -> str | None:
        """Returns the host that owns a program; ``None`` if unknown."""
        group = self._groups.group_of(root_of(program), home_of(program))
        owner = self._groups.owner_of(group)
        return None if owner is None else owner.host

    async def ask_owner(
        self,
        program: str,
        message: Any,
        owner_wait_s: float,
        reply_timeout_s: float | None = None,
    ) -> Any:
        """Returns the reply of the owner of ``program``.

        Args:
            program: Id of the program.
            message: A message whose reply has an ``owned`` field.
            owner_wait_s: Longest wait for a host that may act for the program.
            reply_timeout_s: Longest wait for one reply; ``None`` for ``owner_wait_s``.

        Returns ``None`` if no host that may act has replied in time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + owner_wait_s
        while True:
            reply = await self._ask_current_owner(
                program, message, reply_timeout_s or owner_wait_s
            )
            if reply is not None and reply.owned:
                return reply
            if loop.time() + self.cfg.retry_interval_s > deadline_s:
                return None
            await asyncio.sleep(self.cfg.retry_interval_s)

    async def call(self, host: str, message: Any, timeout_s: float) -> Any:
        """Returns the reply of ``host``; ``None`` if there was none."""
        if host == self.host:
            return await self._local_handlers[type(message)](message)
        try:
            return await self._peers.call(host, message, timeout_s)
        except PeerError as exc:
            logger.bind(host=host, reason=str(exc)).debug("host not reached")
            return None

    async def _ask_current_owner(
        self, program: str, message: Any, timeout_s: float
    ) -> Any:
        host = self.owner_of(program)
        if host is None:
            return None
        call = asyncio.create_task(self.call(host, message, timeout_s))
        try:
            while not call.done():
                await asyncio.wait([call], timeout=OWNER_CHECK_INTERVAL_S)
                if self.owner_of(program) != host:
                    break
        finally:
            # A call to an unresponsive owner stays open long after another took over.
            unanswered = not call.done()
            call.cancel()
        return None if unanswered else call.result()
