"""Sends requests to targets over this host's own connections."""

from collections.abc import Callable
from functools import partial

from magnoliaroad.relay.path_prober import PathProber
from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.targets import (
    TargetClient,
    TargetError,
    TargetRequest,
    TargetResponse,
    TargetUnreachable,
)
from magnoliaroad.verdict import Verdict


class DirectSender:
    """Sends requests, and tells the prober what happens to the connections."""

    def __init__(self, client: TargetClient, prober: PathProber) -> None:
        self._client = client
        self._prober = prober

    async def open(
        self,
        target: RelayTarget,
        req: TargetRequest,
        limit_s: float,
        on_sent: Callable[[], None] = lambda: None,
    ) -> TargetResponse:
        """Sends ``req`` and returns the answer once its head has arrived.

        Raises:
            TargetError: As ``TargetClient.open``.
        """
        service = target.service
        try:
            with self._prober.awaited_answer(service):
                return await self._client.open(
                    req,
                    limit_s,
                    on_sent,
                    partial(self._prober.record_connected, service),
                )
        except TargetUnreachable:
            self._prober.record_unreachable(target)
            raise
        except TargetError as exc:
            if exc.verdict is not Verdict.NOT_RUN:
                self._prober.suspect(service)
            raise
