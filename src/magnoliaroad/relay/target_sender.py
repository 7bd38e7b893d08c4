"""Sends requests to targets, through peers while this host cannot reach them."""

from collections.abc import Callable, Collection

from magnoliaroad.relay.detour_client import DetourClient
from magnoliaroad.relay.direct_sender import DirectSender
from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.relay.target_paths import TargetPaths
from magnoliaroad.targets import TargetAnswer, TargetRequest


class TargetSender:
    """Chooses the way of a request to its target.

    Args:
        direct: Sends over connections of this host.
        detours: Sends through peers.
        paths: The services that this host is cut off from.
    """

    def __init__(
        self, direct: DirectSender, detours: DetourClient, paths: TargetPaths
    ) -> None:
        self._direct = direct
        self._detours = detours
        self._paths = paths

    def is_cut(self, service: str) -> bool:
        """Returns whether requests to a service go through peers."""
        return self._paths.is_cut(service)

    async def open(
        self,
        target: RelayTarget,
        request_id: str,
        req: TargetRequest,
        limit_s: float,
        on_sent: Callable[[], None],
        data_centres: Collection[str] | None = None,
    ) -> TargetAnswer:
        """Sends ``req`` and returns the answer once its head has arrived.

        Args:
            target: The target.
            request_id: Id of the caller's request.
            req: The request.
            limit_s: Longest wait for the head of the answer.
            on_sent: Callback that runs when the target may have received the request.
            data_centres: Data centres whose hosts may see the request; ``None`` for
                any.

        Raises:
            NoPath: Neither this host nor a peer reaches the target.
            TargetError: The request failed at the target or on the way.
        """
        if self._paths.is_cut(target.service):
            return await self._detours.open(
                target, request_id, req, limit_s, on_sent, data_centres
            )
        return await self._direct.open(target, req, limit_s, on_sent)
