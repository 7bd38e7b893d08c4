"""Token buckets of teams, kept in step by hosts that exchange their counts."""

from collections.abc import Callable
from typing import NamedTuple

from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.settings import QuotaSettings

# Window over which a team's demand is measured, in seconds.
DEMAND_WINDOW_S = 1.0
# Time until the requests of a new program are part of its team's measured demand, in
# seconds. Until then the program is counted at the usual rate of a program.
PROGRAM_START_WINDOW_S = 0.5
# Minimum wait returned on a refusal, in seconds; with a shorter one callers retry at
# once.
MIN_WAIT_S = 0.05
# Token count of a bucket whose team's limit is not known yet.
UNKNOWN_TOKENS = float("inf")


class TeamCount(NamedTuple):
    """Totals of one team at one host since that host started.

    Attributes:
        admitted: Requests admitted.
        started: Programs whose first request was admitted.
    """

    admitted: int
    started: int


class _PeerCounts(NamedTuple):
    """Last counts received from one incarnation of a peer.

    Attributes:
        boot: Incarnation of the peer.
        counts: Counts by team.
        has_all_teams: Whether a team that is missing from ``counts`` has a count of
            zero.
    """

    boot: str
    counts: dict[str, TeamCount]
    has_all_teams: bool


ZERO_COUNT = TeamCount(0, 0)


class _TeamState:
    """Token bucket and demand of one team as this host sees them.

    Attributes:
        at: Time of the last refill in seconds.
        changed_at: Time in seconds at which this host's counts last changed.
        counted: Requests that this host has admitted since its start.
        others: Requests that peers admitted lately; decays over ``DEMAND_WINDOW_S``,
            as do ``own`` and ``passed``.
        own: Requests that came to this host lately, refused ones included.
        passed: Requests that all hosts admitted lately.
        started: Programs that this host has started since its start.
        starting: Programs that all hosts started too recently to show in ``passed``;
            decays over ``PROGRAM_START_WINDOW_S``.
        tokens: Tokens left in the bucket; ``UNKNOWN_TOKENS`` until the team's limit is
            known.
    """

    __slots__ = (
        "at",
        "changed_at",
        "counted",
        "others",
        "own",
        "passed",
        "started",
        "starting",
        "tokens",
    )

    def __init__(self, now: float, tokens: float) -> None:
        self.at = self.changed_at = now
        self.tokens = tokens
        self.counted = 0
        self.started = 0
        self.starting = 0.0
        self.passed = 0.0
        self.own = 0.0
        self.others = 0.0


class TeamTokenBuckets:
    """Admits requests of teams by replicated token buckets.

    Every host keeps a replica of each team's whole bucket. It subtracts its own
    admissions at once and those of its peers when their counts arrive. To allow for
    counts that are still on their way, a host uses only a part of the remaining
    tokens, in proportion to its share of the team's demand. While peers are out of
    contact, each side of the partition scales the rate and the burst down to the
    fraction of hosts that it reaches, so that the sum over all hosts stays within the
    limit.

    Args:
        cfg: Settings of the shares.
        now: Time in seconds.
        find_team: Returns the team of a name; ``None`` if it is not known yet.
    """

    def __init__(
        self,
        cfg: QuotaSettings,
        now: float,
        find_team: Callable[[str], RelayTeam | None] = lambda name: None,
    ) -> None:
        self.cfg = cfg
        self._find_team = find_team
        self._created_at = now
        self._hosts = 1
        self._silent = 0
        self._teams: dict[str, _TeamState] = {}
        self._peers: dict[str, _PeerCounts] = {}

    def set_hosts(self, hosts: int, silent: int) -> None:
        """Sets the number of hosts and how many of them are out of contact."""
        self._hosts = max(1, hosts)
        self._silent = min(silent, self._hosts - 1)

    def contact_fraction(self) -> float:
        """Returns the fraction of the known hosts that is in contact."""
        return (self._hosts - self._silent) / self._hosts

    def admit(self, now: float, team: RelayTeam, new_program: bool = False) -> float:
        """Takes a token of ``team`` for one request.

        The requests of a program that is refused halfway are wasted. A new program is
        therefore admitted only if the limit also covers the expected requests of the
        running ones. This handles a team that starts more programs than its limit can
        finish.

        Args:
            now: Time in seconds.
            team: The team with its limit.
            new_program: Whether the request starts a program.

        Returns:
            0 if the request is admitted, else the seconds until one may be.
        """
        if team.rate <= 0:
            return 0.0
        state = self._refilled(now, team)
        rate = team.rate * self.contact_fraction()
        if new_program:
            wait_s = self._new_program_wait_s(state, rate)
            if wait_s:
                return wait_s
        state.own += 1.0
        share = self._demand_share(state)
        missing = 1.0 / share - self.cfg.slack - state.tokens
        if missing > 0:
            return max(MIN_WAIT_S, missing / rate)
        state.tokens -= 1.0
        state.counted += 1
        state.changed_at = now
        state.passed += 1.0
        state.started += new_program
        state.starting += new_program
        return 0.0

    def _new_program_wait_s(self, state: _TeamState, rate: float) -> float:
        cfg = self.cfg
        running_rate = (
            state.passed / DEMAND_WINDOW_S + state.starting * cfg.program_rate
        )
        spare = max(0.0, state.tokens) / cfg.horizon_s
        missing = running_rate + cfg.program_rate - rate - spare
        # A program whose usual rate exceeds the limit is admitted if none is running.
        if missing <= 0 or running_rate < cfg.program_rate:
            return 0.0
        return max(MIN_WAIT_S, cfg.horizon_s * missing / rate)

    def refund(self, team: RelayTeam) -> None:
        """Puts back the token of a request that was not sent."""
        state = self._teams.get(team.name)
        if state is not None and team.rate > 0:
            state.tokens = min(state.tokens + 1.0, team.burst)
            state.counted -= 1
            state.changed_at = state.at

    def counts(self, since: float = float("-inf")) -> dict[str, TeamCount]:
        """Returns this host's counts since its start, by team.

        Args:
            since: Time in seconds; teams whose count last changed before it are left
                out.
        """
        return {
            name: TeamCount(state.counted, state.started)
            for name, state in self._teams.items()
            if state.counted and state.changed_at >= since
        }

    def merge_peer_counts(
        self,
        now: float,
        host: str,
        boot: str,
        counts: dict[str, TeamCount],
        fresh: bool,
        regained: bool = False,
        has_all_teams: bool = True,
    ) -> None:
        """Subtracts what a peer has admitted since its last counts.

        Args:
            now: Time in seconds.
            host: The peer.
            boot: Incarnation of the peer; each starts with counts of 0.
            counts: Counts of this incarnation so far, by team.
            fresh: Whether the peer has just started, so that all its counts are
                recent.
            regained: Whether the peer was out of contact until now. The reduced rate
                already allowed for what it admitted meanwhile, so nothing is
                subtracted.
            has_all_teams: Whether ``counts`` has all teams, or only those that changed
                lately.
        """
        previous = self._peers.get(host)
        if previous is None or previous.boot != boot:
            # The first counts of a peer that has been running for a while are only the
            # baseline for later ones; their requests may be long past.
            previous = _PeerCounts(boot, {}, has_all_teams=fresh)
        for name, count in counts.items():
            if not regained:
                self._add_increase(now, name, count, previous)
        merged = {**previous.counts, **counts}
        self._peers[host] = _PeerCounts(
            boot, merged, previous.has_all_teams or has_all_teams
        )

    def _add_increase(
        self, now: float, name: str, count: TeamCount, peer: _PeerCounts
    ) -> None:
        """Subtracts what ``peer`` has admitted of a team since its last counts."""
        previous = peer.counts.get(name)
        if previous is None:
            if not peer.has_all_teams:
                return
            previous = ZERO_COUNT
        added = count.admitted - previous.admitted
        started = count.started - previous.started
        if added or started:
            self._add_remote(now, name, added, started)

    def tokens_left(self, now: float, team: RelayTeam) -> float:
        """Returns the tokens of a team's bucket, which stays as it is."""
        state = self._teams.get(team.name) or _TeamState(now, UNKNOWN_TOKENS)
        return self._tokens_at(state, now, team)

    def bucket_state(self, name: str) -> dict[str, float]:
        """Returns the state of a team's bucket for the log.

        These are the tokens left, the part of them that this host may use, the
        requests that all hosts admitted lately, the programs they started lately, the
        number of hosts, and how many of them are out of contact.
        """
        state = self._teams.get(name)
        if state is None:
            return {}
        return {
            "tokens": round(state.tokens, 1),
            "share": round(self._demand_share(state), 2),
            "lately": round(state.passed, 1),
            "starting": round(state.starting, 1),
            "hosts": self._hosts,
            "silent": self._silent,
        }

    def count(self, name: str) -> TeamCount:
        """Returns this host's count of a team since its start."""
        state = self._teams.get(name)
        return ZERO_COUNT if state is None else TeamCount(state.counted, state.started)

    def remove_peer(self, host: str) -> None:
        """Drops the counts of a peer that has left the fleet."""
        self._peers.pop(host, None)

    def _add_remote(self, now: float, name: str, added: int, started: int) -> None:
        team = self._find_team(name)
        if team is not None and team.rate > 0:
            state = self._refilled(now, team)
        else:
            # The bucket is filled when the team's first request arrives here.
            state = self._teams.setdefault(name, _TeamState(now, UNKNOWN_TOKENS))
        if state.tokens != UNKNOWN_TOKENS:
            state.tokens -= added
        state.others += added
        state.passed = max(0.0, state.passed + added)
        state.starting += started

    def _refilled(self, now: float, team: RelayTeam) -> _TeamState:
        state = self._teams.get(team.name)
        if state is None:
            state = self._teams[team.name] = _TeamState(
                now, self._initial_tokens(now, team)
            )
        state.tokens = self._tokens_at(state, now, team)
        elapsed_s = max(0.0, now - state.at)
        state.at = max(state.at, now)
        decay = max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
        state.own *= decay
        state.others *= decay
        state.passed *= decay
        state.starting *= max(0.0, 1.0 - elapsed_s / PROGRAM_START_WINDOW_S)
        return state

    def _tokens_at(self, state: _TeamState, now: float, team: RelayTeam) -> float:
        tokens, fraction = state.tokens, self.contact_fraction()
        if tokens == UNKNOWN_TOKENS:
            tokens = self._initial_tokens(now, team)
        earned = max(0.0, now - state.at) * team.rate * fraction
        return min(team.burst * fraction, tokens + earned)

    def _initial_tokens(self, now: float, team: RelayTeam) -> float:
        earned = team.rate * (now - self._created_at)
        return min(team.burst, self.cfg.start_burst * team.burst + earned)

    def _demand_share(self, state: _TeamState) -> float:
        demand = state.own + state.others
        part = state.own / demand if demand else 1.0
        return max(part, self.cfg.least_share)
