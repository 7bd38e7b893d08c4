"""Requests whose targets are evacuated while they are placed."""

import pytest

from magnoliaroad.refusal import Refusal
from magnoliaroad.relay import placer as placing
from magnoliaroad.relay.placer import NoTarget, PlacementNeed, Placer
from magnoliaroad.relay.refusals import (
    NO_TARGET,
    NO_TARGET_IN_REGION,
    TARGETS_EVACUATED,
    TARGETS_FULL,
)
from magnoliaroad.relay.settings import QuotaSettings
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_limit import BucketDecision
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.target_model.settings import PlacementSettings


class Settings:
    name, data_centre = "host-0", "dc-1"
    quota, placement = QuotaSettings(), PlacementSettings()


class LateLimiter:
    """Admits all requests; ``during`` runs while the home host is asked."""

    def __init__(self, during=lambda target: None, wait_s=0.0, admits=True):
        self.during, self.wait_s, self.admits, self.asked = during, wait_s, admits, 0

    def is_limited(self, target, now):
        return True

    async def admit(self, target, reserved_part, longest_wait_s=0.0):
        self.asked += 1
        self.during(target)
        admitted = self.admits and longest_wait_s >= self.wait_s
        return BucketDecision(admitted, self.wait_s)


@pytest.fixture
def table():
    table = TargetTable()
    for number in (1, 2):
        table.set(target(number))
    return table


def target(number, data_centre=None, **fields):
    return RelayTarget(
        f"i-{number}",
        "app",
        "10.0.0.1:80",
        data_centre or f"dc-{number}",
        8,
        TargetState.READY,
        **fields,
    )


def placer(table, limiter):
    model = TargetModel(PlacementSettings(), table, lambda name: None)
    return Placer(Settings(), table, limiter, model, None, lambda: 1)


def need(**fields):
    return PlacementNeed("app", "safe", None, False, "r", "", "", "s", **fields)


async def refusal(table, request=None, excluded=()) -> Refusal:
    with pytest.raises(NoTarget) as raised:
        await placer(table, LateLimiter()).place(
            request or need(), set(excluded), float("inf")
        )
    return raised.value.refusal


async def test_an_order_while_the_home_host_is_asked_holds(table):
    """Guards against a request that is sent after its data centre was evacuated."""
    evacuated = []

    def evacuate(chosen):
        if not evacuated:
            evacuated.append(chosen.data_centre)
            table.evacuations.apply_snapshot(0.0, evacuated, 5)

    placement = await placer(table, LateLimiter(evacuate)).place(
        need(), set(), float("inf")
    )
    assert placement.target.data_centre not in evacuated


async def test_a_target_whose_entry_states_another_cold_time_is_still_the_one(table):
    """Guards against refusals of requests that wait while a cold target gets warm."""

    def rewrite(chosen):
        table.set(chosen._replace(cold_s=chosen.cold_s + 1.0))

    placement = await placer(table, LateLimiter(rewrite, wait_s=0.01)).place(
        need(), set(), float("inf")
    )
    assert placement.target.name in table.targets


async def test_few_of_many_cold_targets_are_asked(table):
    """Guards against requests that ask the home host of each target of a cold site."""
    for number in range(3, 40):
        table.set(target(number, "dc-1"))
    limiter = LateLimiter(wait_s=1.0, admits=False)
    with pytest.raises(NoTarget):
        await placer(table, limiter).place(need(), set(), float("inf"))
    assert limiter.asked <= placing.MAX_ASKED + 1


async def test_callers_are_told_that_all_targets_are_evacuated(table):
    assert TARGETS_EVACUATED.status == 503
    assert TARGETS_EVACUATED.retry_after_s > 0
    table.evacuations.apply_snapshot(0.0, ["dc-1"], 5)
    assert await refusal(table, excluded=["i-2"]) is TARGETS_FULL
    inside = need(data_centres=frozenset({"dc-1"}))
    assert await refusal(table, inside) is TARGETS_EVACUATED
    outside = need(data_centres=frozenset({"dc-3"}))
    assert await refusal(table, outside) is NO_TARGET_IN_REGION
    table.evacuations.apply_snapshot(0.0, ["dc-1", "dc-2"], 6)
    assert await refusal(table) is TARGETS_EVACUATED
    assert await refusal(table, excluded=["i-2"]) is TARGETS_EVACUATED
    table.remove("i-1")
    table.remove("i-2")
    assert await refusal(table) is NO_TARGET
