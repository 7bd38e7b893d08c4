"""Alternative rate limiting schemes, for comparison."""

from collections.abc import Callable, Iterable

from bench._limit_traces import HOSTS, TEAMS
from magnoliaroad.limits import TokenBucket
from magnoliaroad.rendezvous import highest_ranked
from tests.fakes.limit_hosts import AdmissionResult, Arrival

ROUND_TRIP_S = 0.003
TAKEOVER_S = 10.0
IsAlive = Callable[[str, float], bool]
CanReach = Callable[[str, str, float], bool]


def static_shares(
    arrivals: Iterable[Arrival], is_alive: IsAlive
) -> list[AdmissionResult]:
    """Gives each host a fixed eighth of every team's rate and burst."""
    share = 1.0 / len(HOSTS)
    buckets = {
        (team.name, host): TokenBucket(team.rate * share, team.burst * share, 0.0)
        for team in TEAMS
        for host in HOSTS
    }
    results = []
    for arrival in sorted(arrivals):
        if not is_alive(arrival.host, arrival.at):
            continue
        bucket = buckets[arrival.team, arrival.host]
        results.append(
            AdmissionResult(arrival, arrival.at, bucket.try_consume(arrival.at))
        )
    return results


def single_home(
    arrivals: Iterable[Arrival], is_alive: IsAlive, can_reach: CanReach
) -> list[AdmissionResult]:
    """Lets one host, chosen by rendezvous hashing, decide for each team.

    If that host fails, another takes over after ``TAKEOVER_S`` with an empty bucket.
    """
    homes: dict[str, tuple[str, TokenBucket]] = {}
    results = []
    for arrival in sorted(arrivals):
        if not is_alive(arrival.host, arrival.at):
            continue
        home, bucket = _home_of_team(homes, arrival, is_alive)
        reachable = is_alive(home, arrival.at) and can_reach(
            arrival.host, home, arrival.at
        )
        admitted = reachable and bucket.try_consume(arrival.at)
        wait_s = 0.0 if home == arrival.host else ROUND_TRIP_S
        results.append(AdmissionResult(arrival, arrival.at + wait_s, admitted))
    return results


def _home_of_team(
    homes: dict[str, tuple[str, TokenBucket]], arrival: Arrival, is_alive: IsAlive
) -> tuple[str, TokenBucket]:
    team = next(team for team in TEAMS if team.name == arrival.team)
    if team.name not in homes:
        host = highest_ranked(team.name, HOSTS)
        homes[team.name] = (host, TokenBucket(team.rate, team.burst, 0.0))
    host, bucket = homes[team.name]
    if not is_alive(host, arrival.at - TAKEOVER_S):
        live = [name for name in HOSTS if is_alive(name, arrival.at)]
        bucket = TokenBucket(team.rate, team.burst, arrival.at, tokens=0.0)
        homes[team.name] = (highest_ranked(team.name, live), bucket)
    return homes[team.name]
