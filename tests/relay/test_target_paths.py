"""Whether a host is cut off from targets, from the outcomes of connections."""

import pytest

from magnoliaroad.relay.target_paths import EVIDENCE_LIFETIME_S, TargetPaths


def test_three_targets_that_cannot_be_reached_show_a_cut():
    paths = TargetPaths()
    assert not paths.record_unreachable("lm", "i-1", 1.0, 5)
    assert not paths.record_unreachable("lm", "i-1", 1.1, 5)
    assert not paths.is_cut("lm")
    assert not paths.record_unreachable("lm", "i-2", 1.2, 5)
    assert not paths.is_cut("lm")
    assert paths.record_unreachable("lm", "i-3", 1.2, 5)
    assert paths.is_cut("lm")
    assert not paths.is_cut("app")
    assert sorted(paths.unreachable("lm")) == ["i-1", "i-2", "i-3"]
    assert not paths.record_unreachable("lm", "i-4", 1.3, 5)


def test_both_targets_of_a_service_show_a_cut():
    paths = TargetPaths()
    assert not paths.record_unreachable("app", "i-1", 1.0, 2)
    assert paths.record_unreachable("app", "i-2", 1.1, 2)


def test_two_of_three_targets_that_crash_together_show_no_cut():
    """no_path: a host refused requests that the third target would have taken."""
    paths = TargetPaths()
    assert not paths.record_unreachable("app", "i-1", 1.0, 3)
    assert not paths.record_unreachable("app", "i-2", 1.0, 3)
    assert not paths.is_cut("app")


def test_a_connection_ends_a_cut_and_the_evidence_for_one():
    paths = TargetPaths()
    paths.record_unreachable("lm", "i-1", 1.0, 5)
    paths.record_unreachable("lm", "i-2", 1.0, 5)
    assert paths.record_connected("lm", 1.1) is None
    assert not paths.record_unreachable("lm", "i-2", 1.2, 5)
    assert not paths.record_unreachable("lm", "i-3", 1.2, 5)
    assert paths.record_unreachable("lm", "i-1", 1.3, 5)
    assert paths.record_connected("app", 1.5) is None
    assert paths.is_cut("lm")
    assert paths.record_connected("lm", 3.3) == pytest.approx(2.0)
    assert paths.cut == []


def test_old_failures_show_no_cut():
    paths = TargetPaths()
    paths.record_unreachable("lm", "i-1", 1.0, 5)
    paths.record_unreachable("lm", "i-3", 1.0, 5)
    late = 1.1 + EVIDENCE_LIFETIME_S
    assert not paths.record_unreachable("lm", "i-2", late, 5)


def test_the_only_target_of_a_service_shows_a_cut_with_those_of_another():
    paths = TargetPaths()
    assert not paths.record_unreachable("app", "i-1", 1.0, 1)
    paths.record_unreachable("lm", "i-2", 1.1, 2)
    paths.record_unreachable("lm", "i-3", 1.2, 2)
    assert paths.record_unreachable("app", "i-1", 1.3, 1)


def test_a_host_that_is_cut_off_stays_so_until_a_connection_is_made():
    paths = TargetPaths()
    paths.record_unreachable("lm", "i-1", 1.0, 2)
    paths.record_unreachable("lm", "i-2", 1.0, 2)
    paths.record_unreachable("lm", "i-1", 60.0, 2)
    assert paths.is_cut("lm")
