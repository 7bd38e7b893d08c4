"""Sends requests to targets through peers while this host cannot reach them."""

import asyncio
import time
import uuid
from collections.abc import Callable, Collection

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.relay.detour_failure import PeerLost, PeerUnable, error_of
from magnoliaroad.relay.detour_messages import (
    DetourEnd,
    DetourFailure,
    DetourHead,
    DetourRequest,
    pack_headers,
    pack_text,
)
from magnoliaroad.relay.detour_response import DetourResponse
from magnoliaroad.relay.helper_choice import HelperChoice
from magnoliaroad.relay.metrics import DETOURS
from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.targets import TargetError, TargetRequest
from magnoliaroad.verdict import Verdict

# Most peers that one request is offered to.
MAX_HELPERS = 3
# Largest request body that is sent through a peer, in bytes; half of the largest frame
# between hosts.
MAX_BODY_BYTES = 4_000_000


class NoPath(TargetError):
    """Neither this host nor a peer reaches the target."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.NOT_RUN)


class DetourClient:
    """Sends requests through peers; a request passes at most one.

    Args:
        peers: Connections between hosts.
        choice: Chooses the peer.
        silence_timeout_s: Longest pause between two parts of an answer.
    """

    def __init__(
        self, peers: Peers, choice: HelperChoice, silence_timeout_s: float
    ) -> None:
        self._peers = peers
        self._choice = choice
        self._silence_timeout_s = silence_timeout_s

    async def open(
        self,
        target: RelayTarget,
        request_id: str,
        req: TargetRequest,
        limit_s: float,
        on_sent: Callable[[], None],
        data_centres: Collection[str] | None = None,
    ) -> DetourResponse:
        """Sends ``req`` and returns the answer once its head has arrived.

        Args:
            target: The target.
            request_id: Id of the caller's request.
            req: The request.
            limit_s: Longest wait for the head.
            on_sent: Callback that runs when a peer may have received the request.
            data_centres: Data centres whose hosts may see the request; ``None`` for
                any.

        Raises:
            NoPath: No peer sends the request.
            TargetError: The request failed at the target or at the peer.
        """
        if len(req.body) > MAX_BODY_BYTES:
            raise NoPath(f"{target.name}: the body is too large for a detour")
        deadline = time.monotonic() + limit_s
        tried: set[str] = set()
        reason = "no peer in contact is able"
        while len(tried) < MAX_HELPERS:
            host = self._choice.choose(time.monotonic(), tried, data_centres)
            if host is None:
                break
            tried.add(host)
            message = DetourRequest(
                token=uuid.uuid4().hex,
                request_id=request_id,
                target=target.name,
                started_ms=target.started_ms,
                address=target.address,
                method=req.method,
                url=pack_text(req.url),
                headers=pack_headers(req.headers),
                body=req.body,
                limit_s=deadline - time.monotonic(),
            )
            try:
                return await self._open_at(host, message, on_sent)
            except PeerUnable as exc:
                self._choice.record_unable(host, time.monotonic())
                reason = str(exc)
                self._log(message, host, reason)
        DETOURS.inc({"role": "sender", "outcome": "no path"})
        raise NoPath(f"{target.name}: {reason}")

    async def _open_at(
        self, host: str, message: DetourRequest, on_sent: Callable[[], None]
    ) -> DetourResponse:
        self._choice.record_start(host)
        answered = False
        try:
            on_sent()
            head = await self._ask(host, message)
            answered = True
        except asyncio.CancelledError:
            self._peers.send(host, DetourEnd(message.token))
            raise
        finally:
            if not answered:
                self._choice.record_end(host)
        DETOURS.inc({"role": "sender", "outcome": "answered"})
        self._log(message, host, "")
        return DetourResponse(
            self._peers,
            host,
            message.token,
            head,
            self._silence_timeout_s,
            lambda: self._choice.record_end(host),
        )

    async def _ask(self, host: str, message: DetourRequest) -> DetourHead:
        try:
            reply = await self._peers.call_with_deadline(host, message, message.limit_s)
        except PeerError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                raise PeerUnable(str(exc)) from exc
            self._peers.send(host, DetourEnd(message.token))
            DETOURS.inc({"role": "sender", "outcome": "peer lost"})
            raise PeerLost(f"peer {host}: {exc}") from exc.__cause__
        if isinstance(reply, DetourFailure):
            DETOURS.inc({"role": "sender", "outcome": reply.kind})
            raise error_of(reply)
        return reply

    def _log(self, message: DetourRequest, host: str, failure: str) -> None:
        logger.bind(
            request=message.request_id,
            target=message.target,
            peer=host,
            failure=failure,
        ).info("sent through a peer" if not failure else "peer did not send")
