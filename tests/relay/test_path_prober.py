"""Probes of targets, in virtual time."""

import asyncio

import pytest

from magnoliaroad.relay.path_prober import SILENCE_S, PathProber
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_paths import TargetPaths
from magnoliaroad.relay.target_table import TargetTable


class StandinClient:
    """Makes connections to the addresses in ``reachable``."""

    def __init__(self):
        self.reachable = set()
        self.probes = 0

    async def can_connect(self, address):
        self.probes += 1
        return address in self.reachable


def target(number, service="lm"):
    address = f"10.0.0.{number}:80"
    return RelayTarget(f"i-{number}", service, address, "dc-1", 8, TargetState.READY)


@pytest.fixture
def client():
    return StandinClient()


@pytest.fixture
def prober(client):
    table = TargetTable()
    for number in range(3):
        table.set(target(number))
    return PathProber(table, TargetPaths(), client)


async def test_one_target_that_failed_is_told_from_a_cut(prober, client):
    client.reachable = {"10.0.0.1:80", "10.0.0.2:80"}
    prober.record_unreachable(target(0))
    await prober._probe_service("lm")
    assert prober.paths.cut == []


async def test_a_probe_shows_a_cut_and_its_end(prober, client):
    prober.record_unreachable(target(0))
    await prober._probe_service("lm")
    assert prober.paths.cut == ["lm"]
    client.reachable = {"10.0.0.2:80"}
    await prober._probe_service("lm")
    assert prober.paths.cut == []


async def test_a_cut_ends_the_cooldowns_that_it_has_caused(prober):
    table = prober._table
    for number in range(3):
        table.record_failure(f"i-{number}", 0.0, 0.5, 4.0)
        prober.record_unreachable(target(number))
    assert prober.paths.cut == ["lm"]
    assert table.cooldowns(0.1) == {}


async def test_evacuated_targets_are_neither_probed_nor_missed(prober, client):
    """Guards against probes of an empty data centre, and cuts that it would hide."""
    table = prober._table
    for number in (0, 1):
        table.set(target(number)._replace(data_centre="dc-2"))
    table.set(target(3))
    table.evacuations.apply_snapshot(0.0, ["dc-2"], 5)
    await prober._probe_service("lm")
    assert client.probes == 2
    assert prober.paths.cut == ["lm"]


async def test_a_service_without_targets_is_not_cut_off(prober, client):
    for number in range(3):
        prober.record_unreachable(target(number))
    for number in range(3):
        prober._table.remove(f"i-{number}")
    await prober._probe_service("lm")
    assert prober.paths.cut == []
    assert client.probes == 0


async def test_only_silence_of_all_targets_is_suspicious(prober):
    with prober.awaited_answer("lm"):
        heard_at = prober._heard_at
        prober._suspect_silent(heard_at + SILENCE_S - 0.01)
        assert prober._suspected == set()
        with prober.awaited_answer("app"):
            pass
        prober._suspect_silent(prober._heard_at + SILENCE_S - 0.01)
        assert prober._suspected == set()
        prober._suspect_silent(prober._heard_at + SILENCE_S + 0.01)
        assert prober._suspected == {"lm"}
    prober._suspected.clear()
    prober._suspect_silent(prober._heard_at + 60.0)
    assert prober._suspected == set()


async def test_a_probe_that_fails_holds_up_no_other_service(prober, client, logged):
    """Guards against cuts that are found late, after a restart of the task (FAULT)."""
    odd, sound = target(8, "odd"), target(9, "app")
    for each in (odd, sound):
        prober._table.set(each)
    can_connect = client.can_connect

    async def connect(address):
        if address == odd.address:
            raise ValueError("unexpected")
        return await can_connect(address)

    client.can_connect = connect
    await prober.start()
    for service in ("odd", "app"):
        prober.suspect(service)
    async with asyncio.timeout(5.0):
        while client.probes < 5:
            prober.suspect("odd")
            prober.suspect("app")
            await asyncio.sleep(0.01)
    await prober.stop()
    events = [line["event"] for line in logged]
    assert "target not probed" in events
    assert "background task failed" not in events
