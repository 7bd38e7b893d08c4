"""Which data centres may see the body of a request."""

import pytest

from magnoliaroad.homes import allowed_data_centres, must_stay_at_host
from magnoliaroad.relay.helper_choice import Helper, HelperChoice
from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.route import RelayRoute, ServiceWeight
from magnoliaroad.relay.route_kind import RouteKind
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_table import TargetTable

REGIONS = {"a-1": "a", "a-2": "a", "b-1": "b"}


def allowed(route_regions, team_regions, regions=REGIONS):
    route = RelayRoute(
        "r",
        "h",
        "/",
        RouteKind.SAFE,
        1.0,
        1.0,
        0,
        (ServiceWeight("app", 1.0),),
        allowed_regions=tuple(route_regions),
    )
    team = RelayTeam("t", 0.0, 0.0, allowed_regions=tuple(team_regions))
    return allowed_data_centres(route, team, regions)


@pytest.mark.parametrize(
    ("route_regions", "team_regions", "expected"),
    [
        ([], [], None),
        (["a"], [], {"a-1", "a-2"}),
        ([], ["b"], {"b-1"}),
        (["a", "b"], ["b"], {"b-1"}),
        (["a"], ["b"], set()),
        (["c"], [], set()),
    ],
)
def test_regions_of_route_and_team_both_bind(route_regions, team_regions, expected):
    assert allowed(route_regions, team_regions) == expected


def test_a_data_centre_of_unknown_region_is_outside():
    """Guards against bodies that leave their region while settings are incomplete."""
    assert allowed(["a"], [], {}) == set()


@pytest.mark.parametrize(
    ("allowed", "data_centres", "stays"),
    [
        (None, {"a-1", "b-1"}, False),
        ({"a-1", "a-2"}, {"a-1", "a-2"}, False),
        ({"a-1", "a-2"}, {"a-1", "b-1"}, True),
        (set(), set(), True),
    ],
)
def test_one_data_centre_outside_keeps_bodies_at_the_host(allowed, data_centres, stays):
    """Guards against copies in data centres that the settings have no region for."""
    assert (
        must_stay_at_host(None if allowed is None else frozenset(allowed), data_centres)
        is stays
    )


def test_targets_outside_are_no_fallback():
    table = TargetTable()
    for name, data_centre in (("i-1", "a-1"), ("i-2", "b-1")):
        table.set(
            RelayTarget(name, "app", "10.0.0.1:80", data_centre, 8, TargetState.READY)
        )
    table.record_failure("i-1", 0.0, 1.0, 4.0)
    inside = table.usable("app", 0.1, data_centres={"a-1"})
    assert [target.name for target in inside] == ["i-1"]
    assert table.usable("app", 0.1, {"i-1"}, data_centres={"a-1"}) == []


def test_no_peer_outside_is_asked_to_send_a_request():
    choice = HelperChoice(lambda: [Helper("h-1", True, 0, "b-1")])
    assert choice.choose(0.0, (), {"a-1"}) is None
    assert choice.choose(0.0, (), {"b-1"}) == "h-1"
    assert choice.choose(0.0, ()) == "h-1"
