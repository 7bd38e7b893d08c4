import pytest

from magnoliaroad.refusal import Refused
from magnoliaroad.relay.admission import admit
from magnoliaroad.relay.call import RelayCall
from magnoliaroad.relay.plan import CallerLimits, RelayPlan, RelayTeam, pick_service
from magnoliaroad.relay.refusals import NO_ROUTE, NOT_READY, UNKNOWN_KEY
from magnoliaroad.relay.route import RelayRoute, ServiceWeight
from magnoliaroad.relay.route_kind import RouteKind


def route(name, prefix, *services, **changes):
    weights = tuple(ServiceWeight(*s) for s in services or (("lm", 1.0),))
    kind = RouteKind.SAFE
    plain = RelayRoute(name, "example", prefix, kind, 1.0, 0.1, 0, weights)
    return plain._replace(**changes)


def plan(*routes):
    ordered = tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
    return RelayPlan(
        version=1,
        routes={"example": ordered},
        services={},
        teams={"league": RelayTeam("league", 10.0, 10.0)},
        keys={"secret": "league"},
        limits=CallerLimits(1000, 1000, 1.0, 1.0),
    )


class Holder:
    def __init__(self, plan):
        self.plan = plan


def call(path="/a/b", host="example", key="secret"):
    return RelayCall("r1", "GET", host, path, {}, b"", key)


def test_the_longest_prefix_wins():
    both = plan(route("short", "/a/"), route("long", "/a/b/"))
    assert both.find_route("example", "/a/b/c").name == "long"
    assert both.find_route("example", "/a/c").name == "short"
    assert both.find_route("example", "/b") is None
    assert both.find_route("other", "/a/b/c") is None


def test_requests_are_split_by_weight_and_the_same_on_each_host():
    split = route("split", "/a/", ("old", 90.0), ("new", 10.0))
    picks = [pick_service(split, f"program-{n}") for n in range(2000)]
    assert 120 <= picks.count("new") <= 280
    assert picks == [pick_service(split, f"program-{n}") for n in range(2000)]


def test_a_weight_of_zero_gets_nothing():
    split = route("split", "/a/", ("old", 0.0), ("new", 1.0))
    assert {pick_service(split, str(n)) for n in range(200)} == {"new"}


@pytest.mark.parametrize(
    ("held", "asked", "refusal"),
    [
        (None, call(), NOT_READY),
        (plan(route("a", "/a/")), call(path="/c"), NO_ROUTE),
        (plan(route("a", "/a/")), call(key="stolen"), UNKNOWN_KEY),
        (plan(route("a", "/a/")), call(key=""), UNKNOWN_KEY),
    ],
)
def test_requests_refused_at_admission(held, asked, refusal):
    with pytest.raises(Refused) as caught:
        admit(Holder(held), asked)
    assert caught.value.refusal is refusal


def test_a_route_open_to_all_needs_no_key():
    held = plan(route("a", "/a/", open_to_all=True))
    assert admit(Holder(held), call(key="")).team is None
    assert admit(Holder(held), call(path="/a/b?x=/c/")).team_name == "league"
