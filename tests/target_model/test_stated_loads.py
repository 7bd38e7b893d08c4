"""What a target states of its load, beside the counts of the hosts."""

import pytest

from magnoliaroad.relay.dialect import TargetLoad
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.target_model.stated_loads import LOAD_LIFETIME_S, StatedLoads

TARGET = RelayTarget("i-1", "lm", "10.0.0.1:80", "dc-1", 8, TargetState.READY, 1)


@pytest.fixture
def loads():
    return StatedLoads()


def test_a_fresh_statement_corrects_the_counts(loads):
    loads.record(TARGET, TargetLoad(6, 1, 8), 1, 0.0)
    assert loads.load(TARGET, 3, 1, 0.0) == 7.0
    assert loads.load(TARGET, 3, 1, LOAD_LIFETIME_S / 2) == pytest.approx(5.0)
    assert loads.load(TARGET, 3, 1, LOAD_LIFETIME_S + 0.01) == 3.0


@pytest.mark.parametrize(
    ("stated", "least", "most"),
    [(TargetLoad(0, 0, 8), 2.0, 10.0), (TargetLoad(999_999_999, 9, 8), 10.0, 18.0)],
)
def test_a_false_statement_neither_draws_all_work_nor_excludes(
    loads, stated, least, most
):
    """Guards against a wrong stated load that is believed for good."""
    loads.record(TARGET, stated, 1, 0.0)
    assert least <= loads.load(TARGET, 10, 1, 0.0) <= most


def test_a_slowdown_holds_for_a_moment_and_is_bounded(loads):
    loads.record(TARGET, TargetLoad(1, 0, 8, 2.5), 1, 0.0)
    assert loads.slowdown(TARGET, 0.1) == 2.5
    assert loads.slowdown(TARGET, 1.0) == 1.0
    loads.record(TARGET, TargetLoad(1, 0, 8, 1e6), 1, 2.0)
    assert loads.slowdown(TARGET, 2.0) == 10.0
    loads.record(TARGET, TargetLoad(1, 0, 8, 0.0), 1, 3.0)
    assert loads.slowdown(TARGET, 3.0) == 1.0


def test_only_services_whose_targets_state_a_slowdown_count_as_such(loads):
    """Guards against a change of placement in deployments that do not ask for it."""
    loads.record(TARGET, TargetLoad(1, 0, 8), 1, 0.0)
    assert not loads.states_slowdown("lm", 0.0)
    loads.record(TARGET, TargetLoad(1, 0, 8, 1.0), 1, 0.0)
    assert loads.states_slowdown("lm", 5.0)
    assert not loads.states_slowdown("app", 5.0)


def test_what_this_host_has_sent_since_counts_beside_a_fresh_statement(loads):
    """Guards against a host that sends a whole burst to a target that was empty."""
    loads.record(TARGET, TargetLoad(1, 0, 8), 1, 0.0)
    assert loads.load(TARGET, 9, 9, 0.0) == 9.0
    assert loads.load(TARGET, 0, 0, 0.0) == 0.0
