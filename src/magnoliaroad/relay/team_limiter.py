"""Admits requests of each team at one host that counts them for the whole fleet."""

import time
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.relay.home_hosts import ASK_S, HomeHosts
from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.quota import TeamTokenBuckets
from magnoliaroad.relay.team_messages import (
    AdmissionRefund,
    AdmissionReply,
    AdmissionRequest,
)


class AdmissionDecision(NamedTuple):
    """The outcome of an admission check.

    Attributes:
        wait_s: 0 if the request is admitted, else seconds until one may be.
        host: Host that counted the request.
        bucket_state: State of the team's bucket for the log; empty if the request is
            admitted.
    """

    wait_s: float
    host: str
    bucket_state: dict[str, float]


class TeamLimitView(NamedTuple):
    """What this host knows of a team's limit.

    Attributes:
        home: Host that counts the team's requests.
        tokens: Tokens that are left in the bucket by this host's replica.
    """

    home: str
    tokens: float


class TeamLimiter:
    """Has the requests of each team admitted by the team's home host.

    The home host is the first choice of rendezvous hashing, so that all hosts agree on
    it. This suits many small teams whose callers come to all hosts of a large fleet: no
    host has to estimate its part of a bucket, and an admission costs one message
    whatever the number of hosts. The other hosts receive the counts with the
    heartbeats, so that the next home host continues from them.

    If the home host does not answer, this host decides from its own replica of the
    bucket, of which it may use its share of the demand.

    Args:
        name: Name of this host.
        peers: Connections between hosts.
        plans: Configuration in force.
        quota: Counts and buckets of this host.
        hosts: Returns the hosts in contact that may be home hosts, possibly this one.
    """

    def __init__(
        self,
        name: str,
        peers: Peers,
        plans: PlanHolder,
        quota: TeamTokenBuckets,
        hosts: Callable[[], list[str]],
    ) -> None:
        self._name = name
        self._peers = peers
        self._plans = plans
        self._quota = quota
        self._homes = HomeHosts(hosts)
        peers.on(AdmissionRequest, self._on_admit, AdmissionReply)
        peers.on(AdmissionRefund, self._on_refund)

    async def admit(self, team: RelayTeam, new_program: bool) -> AdmissionDecision:
        """Decides whether a request of ``team`` is admitted, and counts it if so.

        Args:
            team: The team with its limit.
            new_program: Whether the request starts a program.
        """
        if team.rate <= 0:
            return AdmissionDecision(0.0, self._name, {})
        home = self._homes.find(team.name)
        if home is not None and home != self._name:
            try:
                req = AdmissionRequest(team.name, new_program)
                reply = await self._peers.call_with_deadline(home, req, ASK_S)
            except PeerError as exc:
                logger.bind(host=home, team=team.name, reason=repr(exc)).info(
                    "team's host not reached"
                )
            else:
                if reply.known:
                    return AdmissionDecision(reply.wait_s, home, reply.bucket_state)
        return self._admit_here(team, new_program)

    def view(self, team: RelayTeam) -> TeamLimitView:
        """Returns what this host knows of a team's limit, which it does not use."""
        home = self._homes.find(team.name) or self._name
        return TeamLimitView(home, self._quota.tokens_left(time.monotonic(), team))

    def refund(self, team: RelayTeam, decision: AdmissionDecision) -> None:
        """Puts back the token of a request that was not sent."""
        if decision.host == self._name:
            self._quota.refund(team)
        else:
            self._peers.send(decision.host, AdmissionRefund(team.name))

    def _admit_here(self, team: RelayTeam, new_program: bool) -> AdmissionDecision:
        wait_s = self._quota.admit(time.monotonic(), team, new_program)
        bucket_state = self._quota.bucket_state(team.name) if wait_s else {}
        return AdmissionDecision(wait_s, self._name, bucket_state)

    def _on_admit(self, sender: str, req: AdmissionRequest) -> AdmissionReply:
        team = self._plans.find_team(req.team)
        if team is None:
            return AdmissionReply(False, 0.0, {})
        decision = self._admit_here(team, req.new_program)
        return AdmissionReply(True, decision.wait_s, decision.bucket_state)

    def _on_refund(self, sender: str, req: AdmissionRefund) -> None:
        team = self._plans.find_team(req.team)
        if team is not None:
            self._quota.refund(team)
