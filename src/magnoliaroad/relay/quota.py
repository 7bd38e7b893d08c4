"""Rates and bursts of teams, shared by hosts that tell each other their counts."""

from collections.abc import Callable
from typing import NamedTuple

from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.settings import QuotaSettings

# Time over which a host's part of a team's demand is averaged, in seconds.
DEMAND_WINDOW_S = 1.0
# Time after which a new program shows in its team's demand, in seconds.
PROGRAM_START_WINDOW_S = 0.5
# Least wait that is asked for, in seconds; shorter ones bring callers back at once.
MIN_WAIT_S = 0.05
UNKNOWN_TOKENS = float("inf")


class TeamCount(NamedTuple):
    """What a host has admitted of a team since its start.

    Attributes:
        admitted: Requests.
        started: Programs.
    """

    admitted: int
    started: int


class _PeerCounts(NamedTuple):
    """What one boot of a peer has admitted so far.

    Attributes:
        boot: Its incarnation.
        counts: Counts by team.
        whole: Whether a team that is not among ``counts`` has none.
    """

    boot: str
    counts: dict[str, TeamCount]
    whole: bool


ZERO_COUNT = TeamCount(0, 0)


class _TeamState:
    """The bucket of one team as this host sees it."""

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


class QuotaBook:
    """Decides whether a request of a team may pass.

    Every host sees the whole bucket: it takes its own admissions at once and those
    of its peers when it hears of them. Until then each host uses only its part of
    what is left, by its share of the demand. While peers are out of contact, the rate
    and the burst shrink by their number, on both sides alike, so that the sum over
    all hosts stays within the limit.

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
        """Sets how many hosts there are and how many are out of contact."""
        self._hosts = max(1, hosts)
        self._silent = min(silent, self._hosts - 1)

    def admit(self, now: float, team: RelayTeam, new_program: bool = False) -> float:
        """Takes a token of ``team``; returns 0, or seconds until one may be left.

        A program that is stopped halfway has used its requests for nothing. So a new
        one starts only if the limit also holds the requests of those under way.
        Answers the load pattern of a team that begins more programs than its limit
        can finish.

        Args:
            now: Time in seconds.
            team: The team with its limit.
            new_program: Whether the request starts a program.
        """
        if team.rate <= 0:
            return 0.0
        state = self._refilled(now, team)
        rate = team.rate * self._reach()
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
        # A program that needs more than the limit may still run alone.
        if missing <= 0 or running_rate < cfg.program_rate:
            return 0.0
        return max(MIN_WAIT_S, cfg.horizon_s * missing / rate)

    def refund(self, team: RelayTeam) -> None:
        """Gives back the token of a request that was not sent."""
        state = self._teams.get(team.name)
        if state is not None and team.rate > 0:
            state.tokens = min(state.tokens + 1.0, team.burst)
            state.counted -= 1
            state.changed_at = state.at

    def counts(self, since: float = float("-inf")) -> dict[str, TeamCount]:
        """Returns what this host has admitted so far, by team.

        Args:
            since: Leaves out teams whose count has not changed after this time.
        """
        return {
            name: TeamCount(state.counted, state.started)
            for name, state in self._teams.items()
            if state.counted and state.changed_at >= since
        }

    def heard(
        self,
        now: float,
        host: str,
        boot: str,
        counts: dict[str, TeamCount],
        fresh: bool,
        regained: bool = False,
        whole: bool = True,
    ) -> None:
        """Takes over what a peer has admitted.

        Args:
            now: Time in seconds.
            host: The peer.
            boot: Its incarnation; its counts start at 0 with each.
            counts: What it has admitted so far, by team.
            fresh: Whether the peer has just started, so that all its counts are
                recent.
            regained: Whether the peer was out of contact. What it admitted meanwhile
                was taken into account by the smaller rate.
            whole: Whether ``counts`` has all teams, or those that changed lately.
        """
        previous = self._peers.get(host)
        if previous is None or previous.boot != boot:
            # Of a boot that is not fresh, the first counts are where others begin.
            previous = _PeerCounts(boot, {}, whole=fresh)
        for name, count in counts.items():
            if not regained:
                self._add_increase(now, name, count, previous)
        merged = {**previous.counts, **counts}
        self._peers[host] = _PeerCounts(boot, merged, previous.whole or whole)

    def _add_increase(
        self, now: float, name: str, count: TeamCount, peer: _PeerCounts
    ) -> None:
        """Takes what ``peer`` admitted of a team since it was last heard."""
        previous = peer.counts.get(name)
        if previous is None:
            if not peer.whole:
                return
            previous = ZERO_COUNT
        added = count.admitted - previous.admitted
        started = count.started - previous.started
        if added or started:
            self._add_remote(now, name, added, started)

    def view(self, name: str) -> dict[str, float]:
        """Returns what decides about a team's requests, for the log.

        Its tokens, this host's part of them, requests admitted lately by all hosts,
        programs begun lately, and how many hosts there are and are out of contact.
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
        """Returns what this host has admitted of a team so far."""
        state = self._teams.get(name)
        return ZERO_COUNT if state is None else TeamCount(state.counted, state.started)

    def forget(self, host: str) -> None:
        """Drops what was known of a peer that is gone."""
        self._peers.pop(host, None)

    def _add_remote(self, now: float, name: str, added: int, started: int) -> None:
        team = self._find_team(name)
        if team is not None and team.rate > 0:
            state = self._refilled(now, team)
        else:
            # Its bucket is known from its first request here.
            state = self._teams.setdefault(name, _TeamState(now, UNKNOWN_TOKENS))
        if state.tokens != UNKNOWN_TOKENS:
            state.tokens -= added
        state.others += added
        state.passed = max(0.0, state.passed + added)
        state.starting += started

    def _refilled(self, now: float, team: RelayTeam) -> _TeamState:
        state = self._teams.get(team.name)
        burst = team.burst * self._reach()
        if state is None:
            state = self._teams[team.name] = _TeamState(
                now, self._initial_tokens(now, team)
            )
        if state.tokens == UNKNOWN_TOKENS:
            state.tokens = self._initial_tokens(now, team)
        elapsed_s = max(0.0, now - state.at)
        state.at = max(state.at, now)
        state.tokens = min(burst, state.tokens + elapsed_s * team.rate * self._reach())
        decay = max(0.0, 1.0 - elapsed_s / DEMAND_WINDOW_S)
        state.own *= decay
        state.others *= decay
        state.passed *= decay
        state.starting *= max(0.0, 1.0 - elapsed_s / PROGRAM_START_WINDOW_S)
        return state

    def _initial_tokens(self, now: float, team: RelayTeam) -> float:
        earned = team.rate * (now - self._created_at)
        return min(team.burst, self.cfg.start_burst * team.burst + earned)

    def _demand_share(self, state: _TeamState) -> float:
        demand = state.own + state.others
        part = state.own / demand if demand else 1.0
        return max(part, self.cfg.least_share)

    def _reach(self) -> float:
        return (self._hosts - self._silent) / self._hosts
