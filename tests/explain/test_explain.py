"""Explanations from the state of a host, without a network."""

import time

import pytest

from magnoliaroad.explain.explain import HostStatus, explain
from magnoliaroad.explain.explanation import to_document
from magnoliaroad.explain.query import BadQuery, ExplainQuery, read_query
from magnoliaroad.explain.text import to_lines
from magnoliaroad.records.lru_cache import LruCache
from magnoliaroad.relay.dialect import TargetLoad
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.placer import PlacementNeed, Placer
from magnoliaroad.relay.plan import RelayPlan, RelayService, RelayTeam
from magnoliaroad.relay.plan_holder import PlanHolder
from magnoliaroad.relay.program_targets import ProgramTargets
from magnoliaroad.relay.quota import TeamTokenBuckets
from magnoliaroad.relay.route import RelayRoute, ServiceWeight
from magnoliaroad.relay.route_kind import RouteKind
from magnoliaroad.relay.settings import QuotaSettings, RelayListen, RelaySettings
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_limiter import TargetLimiter
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.relay.team_limiter import TeamLimiter
from magnoliaroad.slow_start import ColdRates, SlowStartSettings
from magnoliaroad.store.settings import StoreSettings
from magnoliaroad.target_model.model import TargetModel
from magnoliaroad.target_model.pace import EventTimes
from magnoliaroad.waiting.admission import ProgramAdmission
from magnoliaroad.waiting.room import WaitingRoom
from tests.fakes.peers import PeerNetwork

READY = HostStatus(True, False, False, 0.0)
SHARED = (ServiceWeight("lm", 1.0),)
ROUTE = RelayRoute("talk", "a", "/talk/", RouteKind.STREAM, 2.0, 1.0, 0, SHARED)
TEAM = RelayTeam("league", 10.0, 20.0)
QUERY = ExplainQuery("a", "/talk/x", team="league", program="p-1")
HOSTS = ["h-1"]


class Sender:
    def is_cut(self, service):
        return False


def target(name, data_centre="dc-1", state=TargetState.READY, cold_s=0.0):
    return RelayTarget(name, "lm", "127.0.0.1:1", data_centre, 8, state, cold_s=cold_s)


def host(*targets, hosts=HOSTS, route=ROUTE):
    """Returns the parts of a host that knows ``targets``, and its peers."""
    peers, table, now = PeerNetwork().join("h-1"), TargetTable(), time.monotonic()
    plans = PlanHolder(None)
    service = RelayService("lm", "/health", 100, 8, 10, cold_s=3.0, cold_rate=21.0)
    plans.plan = RelayPlan(
        3, {"a": (route,)}, {"lm": service}, {"league": TEAM}, {"key": "league"}, None
    )
    plans.taken_at = now - 7.0
    for one in targets:
        table.set(one)
        table.cold.record_entry(one, now)
    regions = {"dc-1": "east", "dc-2": "west"}
    listen, store = RelayListen("", ""), StoreSettings("")
    cfg = RelaySettings("h-1", "dc-1", listen, store, "", regions=regions)
    rates = ColdRates(SlowStartSettings(), table.cold, plans.find_service)
    limiter = TargetLimiter(
        "h-1", peers, table, lambda: hosts, lambda: 1, lambda: 1.0, rates
    )
    model = TargetModel(cfg.placement, table, plans.find_service)
    programs = ProgramTargets("h-1", peers, lambda: hosts)
    quota = TeamTokenBuckets(QuotaSettings(), now - 100.0)
    used = {
        "cfg": cfg,
        "plans": plans,
        "limiter": TeamLimiter("h-1", peers, plans, quota, lambda: hosts),
        "table": table,
        "target_limiter": limiter,
        "target_model": model,
        "waiting": WaitingRoom(cfg.waiting, model.loads.states_slowdown),
        "program_admission": ProgramAdmission(),
        "placer": Placer(cfg, table, limiter, model, programs, lambda: 1),
        "sender": Sender(),
        "program_targets": programs,
        "programs": LruCache(10, lambda _: 1),
        "targets_current": lambda: True,
    }
    return RelayParts(**dict.fromkeys(RelayParts._fields) | used), peers


def ask(parts, now=None, **changes):
    now = time.monotonic() if now is None else now
    return explain(parts, READY, QUERY._replace(**changes), now)


def learn(parts):
    """Lets the host learn what turns are like, so that their ends are expected."""
    model, now = parts.target_model, time.monotonic()
    for number, one in enumerate(parts.table.targets.values()):
        model.record_load(one, TargetLoad(0, 0, 8, 1.0), now)
        times = EventTimes()
        times.add(0.01 * (1 + number % 2), 1, 1.0)
        for _ in range(3):
            model.record_pace(one, times, now)
    model.record_turn("lm", ROUTE.name, 20, 500, 0.0, 0.2)


def by_name(found):
    return {one.name: one for one in found.candidates}


@pytest.mark.parametrize("learnt", [False, True])
async def test_the_explanation_names_the_target_that_a_placement_then_takes(learnt):
    """Guards against an explanation that decides by rules of its own."""
    parts, _ = host(*[target(f"i-{n}") for n in range(8)])
    if learnt:
        learn(parts)
    for number in range(40):
        program = f"p-{number}"
        found = ask(parts, program=program, request=f"r-{number}")
        need = PlacementNeed(
            "lm", ROUTE.name, None, True, f"r-{number}", program, "", program
        )
        placed = await parts.placer.place(need, set(), time.monotonic() + 1.0)
        assert (found.outcome, found.target) == ("sent", placed.target.name)
        assert (found.candidates[0].expected_s is not None) == learnt
        parts.table.record_start(placed.target.name)


def test_each_reason_against_a_target_is_named():
    """Guards against an unusable target without any reason."""
    targets = [target("gone", state=TargetState.DRAINING), target("far", "dc-2")]
    targets += [target(name) for name in ("leaving", "failed", "good", "limited")]
    parts, _ = host(*targets, target("cold", cold_s=2.0), target("out", "dc-3"))
    table, now = parts.table, parts.plans.taken_at + 7.0
    table.leaving.mark(table.targets["leaving"], now)
    table.record_failure("failed", now, 0.5, 4.0)
    table.limits.record(table.targets["limited"], 4.0, now)
    table.evacuations.apply_snapshot(now, ["dc-2"], 1)
    load = TargetLoad(9, 1, 8, 1.5)
    parts.target_model.record_load(table.targets["good"], load, now - 0.1)
    route = ROUTE._replace(allowed_regions=("east", "west"))
    parts.plans.plan = parts.plans.plan._replace(routes={"a": (route,)})
    found = by_name(ask(parts, now))
    reasons = {
        "gone": "draining by its entry",
        "far": "its data centre is evacuated",
        "leaving": "has announced that it stops",
        "failed": "in cooldown for 0.50 s after a failure",
        "out": "outside the allowed regions",
        "limited": "takes 4 requests a second, the next in 0.75 s",
        "cold": "cold for 2.00 s",
    }
    assert {name: found[name].against[0] for name in reasons} == reasons
    unusable = {"gone", "far", "leaving", "failed", "out"}
    assert {name for name, one in found.items() if not one.usable} == unusable
    assert found["good"].load_stated.age_s == pytest.approx(0.1)


def test_refusals_are_those_of_the_host():
    """Guards against a target for a request that the host would refuse."""
    parts, _ = host(target("i-1"))
    assert ask(parts, path="/other").code == "no_route"
    assert ask(parts, team="").code == "unknown_key"
    parts.table.evacuations.apply_snapshot(time.monotonic(), ["dc-1"], 1)
    assert ask(parts).code == "targets_evacuated"
    assert not by_name(ask(parts))["i-1"].chosen


def test_a_new_program_is_refused_for_lack_of_room_and_a_known_one_is_not():
    """Guards against an explanation that leaves out the admission of programs."""
    parts, _ = host(target("i-1"))
    now = time.monotonic()
    load = TargetLoad(16, 4, 8, 1.0)
    parts.target_model.record_load(parts.table.targets["i-1"], load, now)
    parts.table.set_remote_in_flight("h-2", {"i-1": 30})
    parts.program_admission.record_waiting("lm", [(30, 8)], now - 2.0)
    assert ask(parts).code == "no_room_for_programs"
    parts.programs.add("p-1", True)
    assert ask(parts).target == "i-1"


def snapshot(value):
    """Returns a copy of a state that can be compared."""
    if isinstance(value, dict):
        return [(key, snapshot(part)) for key, part in value.items()]
    if hasattr(value, "__slots__") and not isinstance(value, tuple | str | float | int):
        return [getattr(value, name) for name in value.__slots__]
    return snapshot(vars(value)) if hasattr(value, "__dict__") else value


@pytest.mark.parametrize("hosts", [["h-1"], ["h-1", "h-2"]])
async def test_nothing_in_the_host_changes(hosts):
    """Guards against tokens, placements and messages that an explanation costs."""
    parts, peers = host(target("i-1"), target("i-2", cold_s=2.0), hosts=hosts)
    quota, limiter, now = parts.limiter._quota, parts.target_limiter, time.monotonic()
    parts.table.limits.record(parts.table.targets["i-1"], 4.0, now)
    quota.admit(now - 0.1, TEAM)
    for one in parts.table.targets.values():
        limiter._admit_for_all(one, 0.0, 1.0)
    parts.program_admission.record_waiting("lm", [(30, 8)], now)
    for number in reversed(range(3)):
        parts.programs.add(f"p-{number}", True)
        parts.program_targets._targets.add(f"p-{number}", "i-1")

    def state():
        held = (quota._teams, limiter._buckets, limiter._own_parts)
        held += (limiter._refused_until, parts.program_admission._shortages)
        held += (parts.program_targets._targets._values, parts.programs._values)
        return snapshot(dict(enumerate(held))), dict(parts.table.in_flight)

    before = state()
    for number in range(20):
        ask(parts, program=f"p-{number}")
    assert state() == before
    assert not peers.sent


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"path": "/x"}, "host"),
        ({"host": "a"}, "path"),
        ({"host": "a", "path": "x"}, "path"),
        ({"host": "a", "path": "/x", "method": "G T"}, "method"),
        ({"host": "a", "path": "/x", "prompt_tokens": "-1"}, "prompt_tokens"),
        ({"host": "a", "path": "/x", "output_tokens": "1e3"}, "output_tokens"),
        ({"host": "a", "path": "/x", "program": "p\n"}, "program"),
        ({"host": "a", "path": "/x", "key": "secret"}, "'key'"),
        ({"host": "a", "path": "/talk/", "team": "key"}, "team"),
    ],
)
def test_bad_input_names_the_field_and_repeats_no_value(fields, named):
    """Guards against keys in error texts, and faults that name no field."""
    with pytest.raises(BadQuery, match=f"^{named}: ") as caught:
        explain(host(target("i-1"))[0], READY, read_query(fields.items()), 0.0)
    assert "secret" not in str(caught.value)


def test_the_text_shows_the_choice_and_the_age_of_the_configuration():
    """Guards against fields of the JSON output that the text cannot show."""
    parts, _ = host(target("i-1"), target("i-2", "dc-2"))
    lines = list(to_lines(to_document(ask(parts, parts.plans.taken_at + 7.0))))
    assert lines[0] == "sent to i-1"
    assert any("version 3, taken 7.0 s ago" in line for line in lines)
    assert any(line.startswith("-> i-1 (dc-1, ready)") for line in lines)
    now = time.monotonic()
    status = READY._replace(peers_heard_at=[now - 0.5, now - 0.25])
    heard = to_lines(to_document(explain(parts, status, QUERY, now)))
    assert "news of peers: 0.25 to 0.50 s old" in heard
    refused = list(to_lines(to_document(ask(parts, path="/other"))))
    assert refused[0] == "refused: no_route (status 404)"
