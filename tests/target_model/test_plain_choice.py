"""Choice of a target for requests to plain services."""

import collections
import time
from types import SimpleNamespace

import pytest

from magnoliaroad.relay.dialect import TargetLoad
from magnoliaroad.relay.placer import PlacementNeed, Placer
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.target_model.plain_choice import (
    PlainCandidate,
    choose_by_free_slots,
)
from magnoliaroad.target_model.settings import PlacementSettings

SLOTS = 6


def candidate(name, load=0.0, is_far=False, slowdown=1.0):
    return PlainCandidate(name, load, SLOTS, is_far, slowdown)


def counts(candidates, requests=1000):
    """Returns how many requests each target gets."""
    return collections.Counter(
        choose_by_free_slots(candidates, f"r-{n}") for n in range(requests)
    )


def test_requests_are_spread_by_free_slots():
    """Guards against hosts with the same old news that all choose one target."""
    chosen = counts([candidate("a", load=0.0), candidate("b", load=3.0)])
    assert 600 < chosen["a"] < 740


def test_a_full_target_gets_few_requests_and_is_never_left_out():
    """Guards against a target that states too much and is never tried again."""
    chosen = counts([candidate("a", load=2.0), candidate("b", load=1e9)])
    assert 20 < chosen["b"] < 120


def test_a_slowed_target_gets_fewer():
    chosen = counts([candidate("a"), candidate("b", slowdown=2.5)])
    assert 230 < chosen["b"] < 340


def test_targets_elsewhere_get_requests_only_while_few_slots_are_free_here():
    far = candidate("far", is_far=True)
    assert set(counts([candidate("near", load=2.0), far])) == {"near"}
    assert counts([candidate("near", load=5.0), far])["far"] > 700


def test_a_host_with_few_requests_keeps_to_one_target_with_spare_slots():
    pair = [candidate("a", load=1.0), candidate("b")]
    names = {choose_by_free_slots(pair, f"r-{n}", "host-1") for n in range(50)}
    assert len(names) == 1
    slowed = [candidate("a", 1.0, slowdown=2.5), candidate("b", 1.0, slowdown=2.5)]
    names = {choose_by_free_slots(slowed, f"r-{n}", "host-1") for n in range(50)}
    assert names == {"a", "b"}


class Site:
    """A placer with two targets of one service, of which the first is full."""

    def __init__(self, slowdown):
        self.table = TargetTable()
        targets = [
            RelayTarget(n, "app", "10.0.0.1:80", "dc-1", SLOTS, TargetState.READY)
            for n in ("full", "free")
        ]
        for target in targets:
            self.table.set(target)
        model = TargetModel(PlacementSettings(), self.table, lambda name: None)
        load = TargetLoad(SLOTS, 0, SLOTS, slowdown)
        model.record_load(targets[0], load, time.monotonic())
        cfg = SimpleNamespace(name="host-1", data_centre="dc-1")
        self.placer = Placer(cfg, self.table, None, model, None, lambda: 1)

    def choose(self, request):
        need = PlacementNeed("app", "r", None, False, request, "", "", "")
        return self.placer._choose(need, list(self.table.targets.values()))[0].name


@pytest.mark.parametrize(("slowdown", "most"), [(1.0, 40), (None, 140)])
def test_what_a_target_states_counts_where_the_model_is_active(slowdown, most):
    """Guards against requests that are sent to targets which have just been full.

    Services whose targets state no slowdown are placed by the counts, as before.
    """
    site = Site(slowdown)
    chosen = [site.choose(f"r-{n}") for n in range(200)]
    assert most - 40 <= chosen.count("full") <= most
