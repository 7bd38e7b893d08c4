"""How long targets are cold, and what they then get."""

from itertools import pairwise

import pytest
from loguru import logger

from magnoliaroad.relay.plan import RelayService
from magnoliaroad.relay.target import RelayTarget, TargetState, start_of
from magnoliaroad.slow_start import ColdRates, ColdTargets, SendSlots, SlowStartSettings

SERVICE = RelayService("lm", "/health", 100, cold_s=3.0, cold_rate=21.0)


def target(cold_s, started_ms=1):
    return RelayTarget(
        "i-1",
        "lm",
        "10.0.0.1:80",
        "dc-1",
        8,
        TargetState.READY,
        started_ms,
        "v",
        cold_s,
    )


@pytest.fixture
def cold():
    return ColdTargets()


def rates(cold, service=SERVICE):
    return ColdRates(SlowStartSettings(), cold, lambda name: service)


def test_a_target_is_cold_for_the_time_in_its_entry(cold):
    assert cold.record_entry(target(2.0), 10.0)
    assert rates(cold).find(target(2.0), 11.9) == 21.0
    assert rates(cold).find(target(2.0), 12.0) is None
    assert [start.name for start in cold.sweep(12.0, {"i-1"})] == ["i-1"]
    assert cold.record_entry(target(1.0), 20.0)
    assert rates(cold).find(target(1.0), 20.5) == 21.0
    assert cold.record_entry(target(0.0), 20.6)
    assert rates(cold).find(target(0.0), 20.7) is None


def test_another_start_under_the_same_id_is_not_cold_by_the_first(cold):
    cold.record_entry(target(2.0, started_ms=1), 0.0)
    assert rates(cold).find(target(0.0, started_ms=2), 0.5) is None


@pytest.mark.parametrize(
    "service", [None, SERVICE._replace(cold_rate=0.0), SERVICE._replace(cold_s=0.0)]
)
def test_services_without_a_rate_for_cold_targets_have_no_limit(cold, service):
    """Guards against limits in deployments that state none."""
    cold.record_entry(target(2.0), 0.0)
    assert rates(cold, service).find(target(2.0), 0.1) is None


def test_an_entry_that_states_too_long_a_time_is_not_believed(cold):
    lines, one = [], rates(cold)
    sink = logger.add(lambda text: lines.append(text.record["message"]))
    cold.record_entry(target(600.0), 0.0)
    assert one.remaining_s(target(600.0), 0.0) == 30.0
    assert one.remaining_s(target(600.0), 29.0) == 1.0
    assert one.find(target(600.0), 30.0) is None
    logger.remove(sink)
    assert lines == ["target is cold for too long"]


@pytest.mark.parametrize("rate", [0.5, 5.0, 21.0, 100.0])
def test_a_bucket_and_what_it_earns_stay_within_the_bound_of_a_second(cold, rate):
    burst = min(rates(cold).burst(), max(1.0, rate))
    assert burst + rate + rates(cold).unshared_rate(rate) <= rate * 1.5 + 5


def test_a_slot_takes_one_request_and_a_host_sends_its_part():
    """Guards against a host that sends more than its part of a rate by trying often."""
    slots, start = SendSlots("host-1"), start_of(target(1.0))
    sent = [
        now
        for now in (number / 50 for number in range(50 * 100))
        if slots.take(start, now, 0.35, 0.0).admitted
    ]
    assert 34 <= len(sent) <= 36
    assert all(later - at > 1 / 0.35 - 0.3 for at, later in pairwise(sent))


def test_requests_that_wait_take_one_slot_each():
    slots, start, now = SendSlots("host-1"), start_of(target(1.0)), 5.0
    decisions = [slots.take(start, now, 2.0, 2.0) for _ in range(8)]
    sent = sorted(now + one.wait_s for one in decisions if one.admitted)
    assert len(sent) > 2
    assert all(later - at > 0.2 for at, later in pairwise(sent))
