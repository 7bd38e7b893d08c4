"""Bursts of programs upon a service with few targets, replayed without a network."""

import random
import time

import pytest
from loguru import logger

from tests.fakes.loop import VirtualTimeLoop
from tests.waiting.burst import CountingHost, Host, Kind, Site, usual_programs_per_s

SEEDS = (1, 2, 3, 4)
USUAL = usual_programs_per_s()
HIGH, LOW = Kind("high", 0, 0.6 * USUAL), Kind("low", 1, 0.4 * USUAL)
BURST_S = 4


@pytest.fixture
def play(monkeypatch):
    """Plays programs of kinds by the factors of their usual rate; returns the site."""

    def play(seed, kinds, **changes):
        loop = VirtualTimeLoop()
        random.seed(seed)
        with monkeypatch.context() as patched:
            patched.setattr(time, "monotonic", loop.time)
            site = Site(seed, **changes)
            loop.run_until_complete(site.play(kinds))
            loop.close()
        return site

    # A line for each request that waits would take most of the time.
    logger.disable("magnoliaroad")
    yield play
    logger.enable("magnoliaroad")


def burst_of(factor):
    factors = [1.0, *[factor] * BURST_S, 1.0]
    return {HIGH: factors, LOW: factors}


@pytest.mark.parametrize("factor", [1.5, 2.5])
def test_a_higher_rank_is_served_no_less_than_a_lower_one(play, factor):
    """Guards against a burst in which the higher rank loses more programs."""
    for seed in SEEDS:
        site = play(seed, burst_of(factor))
        assert site.share("high") >= site.share("low")
        assert site.share_in_time("high") >= site.share_in_time("low")
        assert site.refusals < 0.003 * site.calls


@pytest.mark.parametrize("burst_s", [4, 16])
def test_other_teams_lose_little_while_one_sends_six_times_its_usual(play, burst_s):
    """Guards against five teams that lose as much as the one that fills all slots.

    That team has three tenths of the usual load, so that its burst needs 2.5 times as
    many slots as usual, 1.1 times those that there are.
    """
    hot = Kind("hot", 0, 0.3 * USUAL)
    teams = [Kind(f"calm-{n}", 0, 0.14 * USUAL) for n in range(5)]
    names = [team.team for team in teams]
    kinds = {team: [1.0] * (burst_s + 2) for team in teams}
    kinds[hot] = [1.0, *[6.0] * burst_s, 1.0]
    seeds = SEEDS if burst_s < 10 else SEEDS[:2]
    sites = [play(seed, kinds) for seed in seeds]
    lost = [1.0 - site.share(*names) for site in sites]
    late = [1.0 - site.share_in_time(*names) for site in sites]
    hot_late = [1.0 - site.share_in_time("hot") for site in sites]
    print(f"{burst_s} s: lost {lost}, late {late}, late of the hot team {hot_late}")
    assert max(lost) <= 0.02
    assert sum(late) <= 0.75 * sum(hot_late)


def test_waiting_serves_more_in_time_than_refusals_do(play):
    """Guards against a queue that makes matters worse than refusing at once."""
    waited = play(1, burst_of(2.5)).share_in_time("high", "low")
    refused = play(1, burst_of(2.5), waits=False).share_in_time("high", "low")
    assert waited > refused


def test_stated_loads_let_fewer_requests_find_a_full_target(play):
    """Guards against hosts that all send to what old counts call the least loaded."""
    full = {
        host_type: sum(
            play(seed, burst_of(1.0), host_type=host_type).found_full for seed in SEEDS
        )
        for host_type in (Host, CountingHost)
    }
    print(full)
    assert full[Host] < 0.75 * full[CountingHost]
