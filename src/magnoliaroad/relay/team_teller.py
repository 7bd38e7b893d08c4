"""Tells hosts at once of admissions of teams that are near their limit."""

import asyncio
import time
from collections.abc import Callable

from magnoliaroad.peers import Peers
from magnoliaroad.relay.beat import HostCount, TeamAdmitted, TeamTold
from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.quota import QuotaBook
from magnoliaroad.rendezvous import first_choice

# Time in which admissions of a team are gathered before all hosts are told.
GATHER_S = 0.05


class TeamTeller:
    """Sends each admission to one host of the team, which tells all when few are left.

    Beats of a large fleet come twice a second. Answers the load pattern of a small
    team whose callers come to all hosts at once: until the next beat each host would
    take the whole bucket for its own.

    Args:
        name: Name of this host.
        boot: Its incarnation.
        peers: Connections between hosts.
        plans: Configuration in force.
        quota: Counts of this host and its peers.
        hosts: Returns the hosts in contact that are fit to keep counts, this one
            included.
        everybody: Returns all peers.
        hears: Returns whether a peer is in contact. What one that comes back admitted
            meanwhile is known from its first beat.
    """

    def __init__(
        self,
        name: str,
        boot: str,
        peers: Peers,
        plans: PlanHolder,
        quota: QuotaBook,
        hosts: Callable[[], list[str]],
        everybody: Callable[[], list[str]],
        hears: Callable[[str], bool],
    ) -> None:
        self._name = name
        self._boot = boot
        self._peers = peers
        self._plans = plans
        self._quota = quota
        self._hosts = hosts
        self._everybody = everybody
        self._hears = hears
        self._gathering: set[str] = set()
        self._told: dict[str, dict[str, HostCount]] = {}
        peers.on(TeamAdmitted, self._on_admitted)
        peers.on(TeamTold, self._on_told)

    def admitted(self, team: str) -> None:
        """Notes that a request of ``team`` was admitted here."""
        home = first_choice(team, self._hosts())
        if home is None or home == self._name:
            self._look(team)
            return
        count = self._quota.count(team)
        self._peers.send(home, TeamAdmitted(team, self._boot, count))

    async def _on_admitted(self, sender: str, told: TeamAdmitted) -> None:
        self._hear(told.team, sender, HostCount(told.boot, told.count))
        self._look(told.team)

    async def _on_told(self, sender: str, told: TeamTold) -> None:
        for host, count in told.counts.items():
            if host != self._name:
                self._hear(told.team, host, count)

    def _hear(self, name: str, host: str, count: HostCount) -> None:
        team = self._team(name)
        if team is not None and self._hears(host):
            now = time.monotonic()
            self._quota.heard_team(now, team, host, count.boot, count.count)

    def _look(self, name: str) -> None:
        team = self._team(name)
        if team is None or name in self._gathering:
            return
        if self._quota.low(time.monotonic(), team):
            self._gathering.add(name)
            asyncio.get_running_loop().call_later(GATHER_S, self._tell, name)

    def _team(self, name: str) -> RelayTeam | None:
        plan = self._plans.plan
        return None if plan is None else plan.teams.get(name)

    def _tell(self, name: str) -> None:
        self._gathering.discard(name)
        counts = {
            host: HostCount(boot, count)
            for host, (boot, count) in self._quota.counts_of(name).items()
        }
        counts[self._name] = HostCount(self._boot, self._quota.count(name))
        known = self._told.get(name, {})
        # What a peer misses it hears with the beats.
        news = {host: c for host, c in counts.items() if known.get(host) != c}
        self._told[name] = counts
        for host in self._everybody() if news else ():
            self._peers.send(host, TeamTold(name, news))
