"""Notifies some hosts of a change directly, without waiting for store watches."""

import asyncio
from collections.abc import Iterable
from typing import Any

from magnoliaroad.peers import PeerAddress, PeerError, Peers
from magnoliaroad.rendezvous import rendezvous

HOSTS_PER_DATA_CENTRE = 2
NOTIFY_TIMEOUT_S = 1.0


def choose_hosts_to_notify(addresses: Iterable[PeerAddress]) -> list[str]:
    """Returns the hosts to notify: ``HOSTS_PER_DATA_CENTRE`` of each data centre."""
    by_data_centre: dict[str, list[str]] = {}
    for address in addresses:
        by_data_centre.setdefault(address.data_centre, []).append(address.host)
    return [
        host
        for hosts in by_data_centre.values()
        for host in rendezvous("watch", hosts)[:HOSTS_PER_DATA_CENTRE]
    ]


async def notify_hosts(peers: Peers, hosts: Iterable[str], message: Any) -> list[str]:
    """Sends ``message`` to ``hosts``; returns the hosts that answered."""

    async def notify(host: str) -> str | None:
        try:
            await peers.call(host, message, NOTIFY_TIMEOUT_S)
        except (PeerError, ValueError):
            return None
        return host

    answers = await asyncio.gather(*map(notify, hosts))
    return [host for host in answers if host is not None]
