"""Request traces for the ``limits`` benchmark."""

import random
from collections.abc import Callable, Iterable

from magnoliaroad.config import Team
from tests.fakes.limit_hosts import Arrival

LAYOUT = {
    "salt-lake": ["salt-lake-1", "salt-lake-2"],
    "howrah": ["howrah-1", "howrah-2"],
    "durgapur": ["durgapur-1", "durgapur-2"],
    "siliguri": ["siliguri-1", "siliguri-2"],
}
HOSTS = [host for hosts in LAYOUT.values() for host in hosts]
TEAMS = [
    Team("large", rate=100.0, burst=100.0),
    Team("middle", rate=20.0, burst=30.0),
    Team("small", rate=4.0, burst=12.0),
]
LOAD_FRACTION = 0.75
HostChoice = Callable[[random.Random], str]


def any_host(rng: random.Random) -> str:
    return rng.choice(HOSTS)


def first_host(rng: random.Random) -> str:
    return HOSTS[0]


def poisson(
    rng: random.Random,
    team: Team,
    rate: float,
    times: tuple[float, float],
    choose_host: HostChoice = any_host,
) -> list[Arrival]:
    """Returns a Poisson process of ``rate`` requests per second within ``times``."""
    at, end = times
    arrivals = []
    while (at := at + rng.expovariate(rate)) < end:
        arrivals.append(Arrival(at, choose_host(rng), team.name))
    return arrivals


def steady(
    seed: int, times: tuple[float, float], choose_host: HostChoice
) -> list[Arrival]:
    """Returns requests of all teams at ``LOAD_FRACTION`` of their rates."""
    rng = random.Random(seed)
    return [
        arrival
        for team in TEAMS
        for arrival in poisson(rng, team, LOAD_FRACTION * team.rate, times, choose_host)
    ]


def bursts(seed: int, start: float, choose_host: HostChoice) -> list[Arrival]:
    """Returns 0.9 of each team's burst within 0.2 s from ``start`` on."""
    rng = random.Random(seed)
    return [
        Arrival(start + 0.2 * rng.random(), choose_host(rng), team.name)
        for team in TEAMS
        for _ in range(int(0.9 * team.burst))
    ]


def within_rate(arrivals: Iterable[Arrival], teams: Iterable[Team]) -> set[Arrival]:
    """Returns the requests that one token bucket per team would admit.

    It is the ideal case, without hosts and network.
    """
    buckets = {team.name: (team.burst, 0.0) for team in teams}
    by_name = {team.name: team for team in teams}
    admitted = set()
    for arrival in sorted(arrivals):
        team = by_name[arrival.team]
        tokens, at = buckets[team.name]
        tokens = min(team.burst, tokens + (arrival.at - at) * team.rate)
        if tokens >= 1.0:
            tokens -= 1.0
            admitted.add(arrival)
        buckets[team.name] = (tokens, arrival.at)
    return admitted
