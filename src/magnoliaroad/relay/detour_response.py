"""A target's answer that arrives through a peer."""

import time
from collections.abc import AsyncIterator, Callable

from multidict import CIMultiDictProxy
from typing_extensions import override

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.relay.detour_failure import PeerLost, cause_of
from magnoliaroad.relay.detour_messages import (
    DetourEnd,
    DetourFailure,
    DetourHead,
    DetourPart,
    DetourRead,
    unpack_headers,
)
from magnoliaroad.targets import AnswerCut, TargetAnswer

# Longest wait for the reply to one read, in seconds; the peer replies within a second
# even if the target is silent.
READ_TIMEOUT_S = 2.5


class DetourResponse(TargetAnswer):
    """Reads a body part by part from the peer that receives it.

    A part is asked for when the caller has taken the one before, so a slow caller holds
    back its target and nobody else.

    Args:
        peers: Connections between hosts.
        host: The peer.
        token: Token of the request.
        head: Head of the answer.
        silence_timeout_s: Longest wait for further bytes.
        on_closed: Is called once when the answer has ended or was closed.
    """

    def __init__(
        self,
        peers: Peers,
        host: str,
        token: str,
        head: DetourHead,
        silence_timeout_s: float,
        on_closed: Callable[[], None],
    ) -> None:
        self.status = head.status
        self.headers = CIMultiDictProxy(unpack_headers(head.headers))
        self._peers = peers
        self._host = host
        self._token = token
        self._silence_timeout_s = silence_timeout_s
        self._on_closed = on_closed
        self._on_complete: Callable[[], None] = lambda: None
        self._open = True

    @override
    async def iter_chunks(self) -> AsyncIterator[bytes]:
        heard_at = time.monotonic()
        while self._open:
            part = await self._read()
            if part.ended:
                self._set_closed()
                self._on_complete()
            if part.body:
                heard_at = time.monotonic()
                yield part.body
            elif time.monotonic() - heard_at > self._silence_timeout_s:
                raise AnswerCut("answer cut off: silent") from TimeoutError()

    async def _read(self) -> DetourPart:
        try:
            reply = await self._peers.call_with_deadline(
                self._host, DetourRead(self._token), READ_TIMEOUT_S
            )
        except PeerError as exc:
            raise PeerLost(f"answer cut off: peer lost: {exc}") from exc
        if isinstance(reply, DetourFailure):
            raise AnswerCut(f"answer cut off: {reply.reason}") from cause_of(reply)
        return reply

    @override
    def when_complete(self, callback: Callable[[], None]) -> None:
        self._on_complete = callback

    @override
    def close(self) -> None:
        """Tells the peer that nothing more is wanted, unless the body is complete."""
        if self._open:
            self._peers.send(self._host, DetourEnd(self._token))
            self._set_closed()

    @override
    def close_connection(self) -> None:
        self.close()

    def _set_closed(self) -> None:
        self._open = False
        self._on_closed()
