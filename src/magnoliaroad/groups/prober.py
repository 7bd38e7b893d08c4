"""Detects unresponsive hosts without probing all of them."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable

from magnoliaroad.groups import metrics
from magnoliaroad.groups.failure_detector import FailureDetector
from magnoliaroad.groups.member import Member, member_of
from magnoliaroad.groups.messages import HostProbe, HostProbeReply
from magnoliaroad.groups.settings import GroupSettings
from magnoliaroad.membership import HostRecord, MembershipService
from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.rendezvous import highest_ranked

PROBE = HostProbe()


class HostProber:
    """Probes ring neighbours, and hosts affected by a planned table."""

    def __init__(
        self, cfg: GroupSettings, membership: MembershipService, peers: Peers
    ) -> None:
        self.cfg = cfg
        self._membership = membership
        self._peers = peers
        self._failure_detector = FailureDetector(
            membership.record.host, cfg.suspect_after_s
        )
        peers.on(HostProbe, self._on_probe, reply=HostProbeReply)

    async def probe(self) -> None:
        """Probes the neighbours once."""
        hosts_by_data_centre: dict[str, list[str]] = defaultdict(list)
        for record in self._membership.hosts.values():
            hosts_by_data_centre[record.data_centre].append(record.host)
        data_centre = self._membership.record.data_centre
        names = self._failure_detector.hosts_to_probe(hosts_by_data_centre, data_centre)
        await asyncio.gather(*(self._check_host(name) for name in names))
        metrics.SUSPECTED.set({}, len(self.suspected()))

    async def any_unresponsive(self, members: Iterable[Member]) -> bool:
        """Probes ``members``; returns whether any did not answer or has restarted."""
        now = asyncio.get_running_loop().time()
        others = [m for m in members if m.host != self._membership.record.host]
        incarnations = await asyncio.gather(
            *(self._request_incarnation(member.host) for member in others)
        )
        for member, incarnation in zip(others, incarnations, strict=True):
            if not incarnation:
                self._failure_detector.record_silence(member.host, now)
        runs = zip(others, incarnations, strict=True)
        return any(member.incarnation != incarnation for member, incarnation in runs)

    async def any_running(self, members: Iterable[Member]) -> bool:
        """Probes ``members``; returns whether any of them still runs."""
        incarnations = await asyncio.gather(
            *(self._request_incarnation(m.host) for m in members)
        )
        runs = zip(members, incarnations, strict=True)
        return any(m.incarnation == incarnation for m, incarnation in runs)

    def suspected(self) -> frozenset[str]:
        """Returns the probed hosts that have not answered for too long."""
        return self._failure_detector.suspected(asyncio.get_running_loop().time())

    def alive(self) -> list[HostRecord]:
        """Returns the records of the listed hosts that are not suspected."""
        suspected = self.suspected()
        return [
            record
            for record in self._membership.hosts.values()
            if record.host not in suspected
        ]

    async def _check_host(self, name: str) -> None:
        sent = asyncio.get_running_loop().time()
        if await self._request_incarnation(name) or await self._probe_indirectly(name):
            self._failure_detector.record_reply(name)
        else:
            self._failure_detector.record_silence(name, sent)

    async def _probe_indirectly(self, name: str) -> str:
        """Probes ``name`` through another host, as only the direct link may be down."""
        others = {r.host for r in self.alive()}
        others -= {name, self._membership.record.host}
        other = highest_ranked(name, others)
        return (
            ""
            if other is None
            else await self._request_incarnation(other, HostProbe(name))
        )

    async def _request_incarnation(self, name: str, probe: HostProbe = PROBE) -> str:
        """Returns the incarnation of ``name``, or an empty string without an answer."""
        try:
            alive = await self._peers.call(name, probe, self.cfg.copy_timeout_s)
        except PeerError:
            return ""
        return alive.incarnation

    async def _on_probe(self, sender: str, message: HostProbe) -> HostProbeReply:
        if message.host:
            return HostProbeReply(await self._request_incarnation(message.host))
        return HostProbeReply(member_of(self._membership.record).incarnation)
