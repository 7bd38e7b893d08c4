"""Distributes the configuration between peers: notices, requests and pushes."""

import asyncio

from magnoliaroad.config.fetch import answer_config_request, answer_parts_request
from magnoliaroad.config.messages import (
    ConfigNotice,
    ConfigPush,
    ConfigReply,
    ConfigRequest,
    PartsReply,
    PartsRequest,
)
from magnoliaroad.config.settings import ConfigSettings
from magnoliaroad.config.updater import ConfigUpdater
from magnoliaroad.peers import PeerError, Peers

MAX_CONCURRENT_REQUESTS = 2
SHORT_INTERVAL_S = 0.2
SHORT_INTERVAL_COUNT = 10


class PeerExchange:
    """Compares revisions with peers, notifies them and answers their requests.

    Args:
        peers: Connections to the other hosts.
        cfg: Settings of the configuration's distribution.
        updater: Receives the heads that peers send.
    """

    def __init__(
        self, peers: Peers, cfg: ConfigSettings, updater: ConfigUpdater
    ) -> None:
        self.cfg = cfg
        self._peers = peers
        self._updater = updater
        self._replica = updater.replica
        self._request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self._announced_revision = 0
        self._short_intervals_left = 0
        peers.on(ConfigNotice, self._on_notice)
        peers.on(ConfigRequest, self._on_request, reply=ConfigReply)
        peers.on(PartsRequest, self._on_parts_request, reply=PartsReply)
        peers.on(ConfigPush, self._on_push, reply=ConfigReply)

    def notify(self, hosts: list[str]) -> None:
        """Sends ``hosts`` a notice of the active revision."""
        for host in hosts:
            self._peers.send(host, ConfigNotice(self._replica.current.revision))

    async def compare(self, host: str) -> bool:
        """Compares revisions with ``host`` and receives its head if that is newer.

        Returns:
            Whether ``host`` answered.
        """
        request = ConfigRequest(self._replica.head.revision)
        try:
            reply = await self._peers.call(host, request, self.cfg.exchange_timeout_s)
        except (PeerError, ValueError):
            return False
        if reply.revision < self._replica.head.revision:
            self._peers.send(host, ConfigNotice(self._replica.head.revision))
        if reply.head:
            self._updater.add_parts(reply.parts)
            await self._updater.receive_head(reply.head, host)
        return True

    def next_interval_s(self) -> float:
        """Returns the seconds until the next periodic comparison.

        The interval is short while a peer has announced a revision that is not
        complete here yet, for at most ``SHORT_INTERVAL_COUNT`` comparisons.
        """
        if (
            self._announced_revision <= self._replica.head.revision
            or not self._short_intervals_left
        ):
            return self.cfg.exchange_interval_s
        self._short_intervals_left -= 1
        return min(SHORT_INTERVAL_S, self.cfg.exchange_interval_s)

    async def _on_notice(self, sender: str, notice: ConfigNotice) -> None:
        if notice.revision > self._announced_revision:
            self._announced_revision, self._short_intervals_left = (
                notice.revision,
                SHORT_INTERVAL_COUNT,
            )
        async with self._request_slots:
            if notice.revision > self._replica.head.revision:
                await self.compare(sender)

    async def _on_request(self, sender: str, request: ConfigRequest) -> ConfigReply:
        return answer_config_request(self._replica, request)

    async def _on_parts_request(self, sender: str, request: PartsRequest) -> PartsReply:
        return answer_parts_request(self._replica, request)

    async def _on_push(self, sender: str, push: ConfigPush) -> ConfigReply:
        self._updater.add_parts(push.parts)
        await self._updater.receive_head(push.head, sender)
        return ConfigReply(self._replica.head.revision)
