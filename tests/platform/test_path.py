"""Requests over sockets, from callers through hosts to targets."""

import asyncio
import contextlib
import socket
import time

import aiohttp
import pytest

from magnoliaroad.relay.app import HOST_LIST_SETTLE_S
from tests.platform.deployment import KEY, Deployment, config
from tests.platform.target_standin import SIGNATURE, TargetStandin

# Prefixes of the store that relay hosts watch.
WATCHED_PREFIXES = ("op/", "servers/", "quarantine/")


@pytest.fixture
def app_targets():
    return [TargetStandin("i-app1", "app"), TargetStandin("i-app2", "app")]


def total_runs(targets):
    return sum(len(target.runs) for target in targets)


async def test_an_answer_is_passed_on_unchanged_and_no_key_reaches_targets(tmp_path):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target) as deployment:
        status, headers, body = await deployment.call(
            "/pay/x?y=1",
            "POST",
            b"money",
            Magnoliaroad_Hold="forged",
            Kv_From="1.2.3.4:5/6",
            Magnoliaroad_Tenant="forged",
            X_Note=f"my key is {KEY}",
            X_Other="kept",
        )
    assert (status, body) == (200, b"whole")
    assert headers["Magnoliaroad-Response-Seal"] == SIGNATURE
    ((method, path, seen, sent),) = target.runs
    assert (method, path, sent) == ("POST", "/pay/x?y=1", b"money")
    assert KEY not in "".join(seen.values())
    assert seen["magnoliaroad-tenant"] == "league"
    assert seen["magnoliaroad-expect-instance"] == "i-app"
    assert 1000 < int(seen["magnoliaroad-deadline-ms"]) <= 2000
    assert seen["x-other"] == "kept"
    assert not {"magnoliaroad-hold", "kv-from", "x-note"} & seen.keys()


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/none/x", {}, 404),
        ("/safe/x", {"Authorization": "Bearer stolen"}, 401),
        ("/safe/x", {"Authorization": None}, 401),
        ("/open/x", {"Authorization": None}, 200),
        ("/safe/x", {"Magnoliaroad_Deadline_Ms": "soon"}, 400),
    ],
)
async def test_routes_and_keys(tmp_path, app_targets, path, headers, status):
    async with Deployment(tmp_path, *app_targets) as deployment:
        got, answered, _ = await deployment.call(path, **headers)
        assert got == status
        assert answered["Magnoliaroad-Request-Id"].startswith("request-")


@pytest.mark.parametrize("act", ["full", "moved"])
async def test_a_request_that_a_target_did_not_run_goes_to_another(
    tmp_path, app_targets, act
):
    app_targets[0].script = [act]
    async with Deployment(tmp_path, *app_targets) as deployment:
        results = [await deployment.call("/pay/x", "POST", b"m") for _ in range(6)]
    assert [status for status, _, _ in results] == [200] * 6
    assert len(app_targets[1].runs) == 6


async def test_an_idempotent_request_that_may_have_run_is_reported_so(tmp_path):
    target = TargetStandin("i-app", "app")
    target.script = ["reset"]
    async with Deployment(tmp_path, target) as deployment:
        status, headers, _ = await deployment.call("/safe/x")
    assert len(target.runs) == 1
    assert status == 502


@pytest.fixture
def unresponsive_address():
    """An address at which no connection is accepted and none is refused."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.socket())
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        for _ in range(4):
            client = stack.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        time.sleep(0.05)
        yield "{}:{}".format(*server.getsockname())


@pytest.mark.parametrize("limit_ms", ["200", "300"])
async def test_a_payment_that_was_never_sent_is_not_reported_as_run(
    tmp_path, unresponsive_address, limit_ms
):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target) as deployment:
        deployment.kv.write("servers/i-app", target.entry(address=unresponsive_address))
        await deployment.until(
            lambda: (
                deployment.relays[0].table.targets["i-app"].address
                == unresponsive_address
            )
        )
        headers = {"Magnoliaroad_Deadline_Ms": limit_ms}
        status, _, _ = await deployment.call("/pay/x", "POST", b"m", **headers)
    assert status == 503


async def test_a_refusal_is_logged_with_its_inputs(tmp_path, app_targets, logged):
    limited = [
        {"name": "league", "api_keys": [KEY], "rate_per_s": 0.5, "burst": 1},
    ]
    async with Deployment(tmp_path, *app_targets) as deployment:
        deployment.kv.write("op/config", config(version=4, tenants=limited))
        await deployment.until(lambda: deployment.relays[0].plans.version == 4)
        statuses = set()
        for _ in range(40):
            status, _, _ = await deployment.call("/safe/x", Magnoliaroad_Program_Id="p")
            statuses.add(status)
        await deployment.call("/none/x")
    assert statuses == {200, 429}
    refused = [line for line in logged if line["event"] == "refused"]
    limit = next(line for line in refused if line["code"] == "over_limit")
    assert limit["team"] == "league"
    assert limit["route"] == "safe"
    assert limit["program"] == "p"
    assert limit["limit"] == 0.5
    assert limit["tokens"] < 0
    assert (limit["hosts"], limit["silent"]) == (1, 0)
    assert refused[-1]["path"] == "/none/x"
    assert KEY not in str(refused)


async def test_a_refusal_by_full_targets_has_a_retry_time(tmp_path, app_targets):
    for target in app_targets:
        target.script = ["full"]
    async with Deployment(tmp_path, *app_targets) as deployment:
        status, headers, _ = await deployment.call("/pay/x", "POST", b"m")
    assert status == 503
    assert 0 < float(headers["Retry-After"]) < 2
    assert total_runs(app_targets) == 0


@pytest.mark.parametrize("act", ["reset", "cut", "wrong_id", "unsealed"])
async def test_a_payment_that_may_have_run_is_never_sent_again(
    tmp_path, app_targets, act
):
    for target in app_targets:
        target.script = [act]
    async with Deployment(tmp_path, *app_targets) as deployment:
        status, _, _ = await deployment.call("/pay/x", "POST", b"m")
    assert status == 502
    assert total_runs(app_targets) == 1


@pytest.mark.parametrize("act", ["reset", "cut", "wrong_id", "unsealed"])
async def test_a_repeatable_request_is_sent_to_another_target(
    tmp_path, app_targets, act
):
    for target in app_targets:
        target.script = [act, "ok"]
    async with Deployment(tmp_path, *app_targets) as deployment:
        results = [(await deployment.call("/safe/x"))[0] for _ in range(2)]
    assert results.count(200) >= 1
    assert total_runs(app_targets) <= 4


async def test_a_request_is_sent_to_no_more_targets_than_its_route_allows(tmp_path):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(5)]
    for target in targets:
        target.script = ["reset"]
    async with Deployment(tmp_path, *targets) as deployment:
        status, _, _ = await deployment.call("/safe/x")
    assert status == 502
    assert total_runs(targets) == 2


async def test_a_targets_own_failure_is_passed_on(tmp_path, app_targets):
    for target in app_targets:
        target.script = ["error"]
    async with Deployment(tmp_path, *app_targets) as deployment:
        status, headers, body = await deployment.call("/safe/x")
    assert (status, body) == (500, b"whole")
    assert headers["Magnoliaroad-Response-Seal"] == SIGNATURE


async def test_bytes_after_an_answer_belong_to_no_request(tmp_path):
    target = TargetStandin("i-app", "app")
    target.script = ["extra", "ok"]
    async with Deployment(tmp_path, target) as deployment:
        first = await deployment.call("/pay/1", "POST", b"m")
        await asyncio.sleep(0.2)
        second = await deployment.call("/pay/2", "POST", b"m")
    assert first[2] == second[2] == b"whole"
    assert [run[1] for run in target.runs] == ["/pay/1", "/pay/2"]


async def test_an_answer_is_given_at_the_routes_timeout(tmp_path):
    target = TargetStandin("i-app", "app")
    target.script = ["silent"]
    async with Deployment(tmp_path, target) as deployment:
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, _, _ = await deployment.call(
            "/pay/x", "POST", b"m", Magnoliaroad_Deadline_Ms="9000"
        )
        assert status == 504
        assert 1.5 < loop.time() - began < 2.4


async def test_a_caller_that_leaves_stops_its_request(tmp_path):
    target = TargetStandin("i-app", "app")
    target.script = ["silent"]
    async with Deployment(tmp_path, target) as deployment:
        call = asyncio.create_task(deployment.call("/pay/x", "POST", b"m"))
        await deployment.until(lambda: target.in_flight == 1)
        call.cancel()
        await deployment.until(lambda: target.abandoned == 1, 1.0)


async def test_a_stream_is_passed_on_and_stored(tmp_path):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        status, first, body = await deployment.turn(b"one;")
        assert status == 200
        assert body.endswith(b"id: 3\ndata: word3\n\n")
        status, second, _ = await deployment.turn(
            b"two;", Magnoliaroad_Previous_Turn=first
        )
        assert status == 200
        await deployment.turn(b"three;", Magnoliaroad_Previous_Turn=second)
    words = b"word1\nword2\nword3\n"
    bodies = [run[3] for run in target.runs]
    assert bodies == [
        b"one;",
        b"one;" + words + b"two;",
        b"one;" + words + b"two;" + words + b"three;",
    ]


async def test_a_turn_is_found_on_another_host_and_after_a_restart(tmp_path):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target, hosts=2) as deployment:
        await deployment.start_records()
        # Right after a host's start its list of record hosts may be incomplete.
        await deployment.until(
            lambda: deployment.relays[0].contact.up_s >= HOST_LIST_SETTLE_S,
            HOST_LIST_SETTLE_S + 1.0,
        )
        _, first, _ = await deployment.turn(b"one;")
        status, _, _ = await deployment.turn(
            b"two;", Magnoliaroad_Previous_Turn=first, relay=1
        )
        assert status == 200
        await deployment.records.stop()
        deployment.records = None
        await deployment.start_records()
        deployment.relays[0].table.in_flight.clear()
        await deployment.until(lambda: deployment.kv.state.get(f"turns/{first}"))
    assert target.runs[1][3].startswith(b"one;word1")


async def test_turns_of_other_teams_and_unknown_turns_are_not_found(tmp_path):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        # Right after a host's start its list of record hosts may be incomplete.
        await deployment.until(
            lambda: deployment.relays[0].contact.up_s >= HOST_LIST_SETTLE_S,
            HOST_LIST_SETTLE_S + 1.0,
        )
        _, first, _ = await deployment.turn(b"one;")
        status, _, _ = await deployment.turn(
            b"two;",
            Magnoliaroad_Previous_Turn=first,
            Authorization="Bearer secret-of-other",
        )
        assert status == 404
        status, _, _ = await deployment.turn(b"x", Magnoliaroad_Previous_Turn="none")
        assert status == 404
    assert len(target.runs) == 1


async def test_a_host_that_has_just_started_reports_no_turn_as_missing(tmp_path):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        deployment.relays[0].contact.connected_since = time.monotonic()
        status, _, _ = await deployment.turn(b"x", Magnoliaroad_Previous_Turn="none")
        assert status == 503


def followers(deployment):
    return sum(relay.fleet.follows_store() for relay in deployment.relays)


async def test_only_one_host_of_a_data_centre_watches_the_store(tmp_path, app_targets):
    async with Deployment(tmp_path, *app_targets, hosts=3) as deployment:
        await deployment.until(
            lambda: (
                [r.fleet.follows_store() for r in deployment.relays].count(True) == 1
            )
        )
        # Hosts that have just started may have begun watches, which go on to their end.
        one_each = dict.fromkeys(WATCHED_PREFIXES, 1)
        await deployment.until(lambda: deployment.kv.open_watches == one_each, 10.0)
        deployment.kv.most_open_watches = deployment.kv.open_watches.copy()
        await asyncio.sleep(1.6)
        assert deployment.kv.most_open_watches == one_each
        deployment.kv.write("op/config", config(8))
        await deployment.until(
            lambda: all(relay.plans.version == 8 for relay in deployment.relays), 1.0
        )


async def test_another_host_watches_the_store_when_the_first_is_lost(
    tmp_path, app_targets
):
    async with Deployment(tmp_path, *app_targets, hosts=2) as deployment:
        await deployment.until(lambda: not deployment.relays[1].fleet.follows_store())
        lost = deployment.relays.pop(0)
        await lost.stop()
        deployment.kv.write("op/config", config(8))
        await deployment.until(
            lambda: all(relay.plans.version == 8 for relay in deployment.relays), 2.0
        )


async def test_a_host_that_stops_deletes_its_entry(tmp_path, app_targets):
    async with Deployment(tmp_path, *app_targets, hosts=2) as deployment:
        await deployment.until(lambda: deployment.relays[0].announcer.announced)
        lost = deployment.relays.pop(0)
        await lost.stop()
        assert deployment.kv.state.get("hosts/relay-0") is None


async def test_an_entry_that_expired_is_written_again_at_once(tmp_path, app_targets):
    async with Deployment(tmp_path, *app_targets) as deployment:
        await deployment.until(lambda: deployment.relays[0].announcer.announced)
        deployment.kv.fault = "busy"
        await deployment.until(lambda: deployment.relays[0].contact.lost)
        deployment.kv.state.expire(time.monotonic() + 1000.0)
        assert deployment.kv.state.get("hosts/relay-0") is None
        deployment.kv.fault = None
        await deployment.until(
            lambda: deployment.kv.state.get("hosts/relay-0") is not None, 1.5
        )


async def test_a_large_configuration_is_read_from_the_store(tmp_path, app_targets):
    async with Deployment(tmp_path, *app_targets, hosts=3) as deployment:
        await deployment.until(lambda: followers(deployment) == 1)
        await asyncio.sleep(1.6)
        names = [f"team-{n:05}" for n in range(3000)]
        teams = [{"name": name, "api_keys": [name]} for name in names]
        deployment.kv.calls.clear()
        deployment.kv.write("op/config", config(9, tenants=teams))
        await deployment.until(
            lambda: all(relay.plans.version == 9 for relay in deployment.relays), 3.0
        )
        reads = [call for call in deployment.kv.calls if call == "GET /-/kv-key"]
        assert len(reads) >= 2


async def test_no_turn_is_reported_as_missing_while_the_store_is_unavailable(tmp_path):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target) as deployment:
        deployment.kv.fault = "busy"
        status, _, _ = await deployment.turn(b"x", Magnoliaroad_Previous_Turn="none")
        assert status == 503


async def test_a_cut_stream_is_incomplete_for_callers_and_not_stored(tmp_path):
    target = TargetStandin("i-lm", "lm")
    target.script = ["cut"]
    async with Deployment(tmp_path, target) as deployment:
        status, first, body = await deployment.turn(b"one;")
        assert (status, body) == (200, None)
        await asyncio.sleep(0.1)
        assert deployment.kv.state.get(f"turns/{first}") is None


async def test_a_stream_that_cannot_be_stored_is_incomplete_for_callers(tmp_path):
    target = TargetStandin("i-lm", "lm", events=30)
    async with Deployment(tmp_path, target) as deployment:
        call = asyncio.create_task(deployment.turn(b"one;"))
        await deployment.until(lambda: target.in_flight == 1)
        deployment.kv.fault = "busy"
        status, _, body = await call
        assert (status, body) == (200, None)


async def test_a_turn_that_cannot_be_kept_is_refused_before_it_runs(
    tmp_path, app_targets, logged
):
    """Guards against turns that use up targets and budgets for an answer cut off."""
    target = TargetStandin("i-lm")
    async with Deployment(tmp_path, target, *app_targets) as deployment:
        await deployment.start_records()
        records = deployment.relays[0].records
        records._is_isolated = lambda: True
        status, headers, _ = await deployment.call("/stream/t", "POST", b"input")
        (refusal,) = (line for line in logged if line["event"] == "refused")
        assert (status, refusal["code"]) == (503, "turns_not_kept")
        assert float(headers["Retry-After"]) > 0
        assert not target.runs
        assert (await deployment.call("/talk/t", "POST", b"input"))[0] == 200
        assert (await deployment.call("/pay/x", "POST", b"money"))[0] == 200
        records._is_isolated = lambda: False
        assert (await deployment.turn())[0] == 200


async def test_turns_beyond_a_spent_budget_are_refused(tmp_path):
    target = TargetStandin("i-lm", "lm", events=10)
    async with Deployment(tmp_path, target) as deployment:
        statuses = [(await deployment.turn(budget=350))[0] for _ in range(6)]
    assert statuses == [200, 200, 200, 402, 402, 402]
    assert len(target.runs) == 3


async def test_a_budget_holds_over_hosts_and_restarts(tmp_path):
    target = TargetStandin("i-lm", "lm", events=10)
    async with Deployment(tmp_path, target, hosts=2) as deployment:
        statuses = []
        for number in range(8):
            statuses.append((await deployment.turn(budget=500, relay=number % 2))[0])
        await deployment.relays[0].stop()
        deployment.relays[0] = deployment.application(0)
        await deployment.relays[0].start()
        await deployment.until(deployment.relays[0]._ready)
        for _ in range(4):
            statuses.append((await deployment.turn(budget=500))[0])
    assert statuses.count(200) <= 5
    assert len(target.runs) == statuses.count(200)


async def test_a_new_configuration_is_in_force_at_once(tmp_path, app_targets):
    async with Deployment(tmp_path, *app_targets) as deployment:
        assert (await deployment.call("/safe/x"))[0] == 200
        changed = config(5, tenants=[{"name": "other", "api_keys": ["new"]}])
        deployment.kv.write("op/config", changed)
        await deployment.until(lambda: deployment.relays[0].plans.version == 5, 1.0)
        assert (await deployment.call("/safe/x"))[0] == 401
        deployment.kv.write("op/config", config(4))
        await asyncio.sleep(0.2)
        assert (await deployment.call("/safe/x"))[0] == 401


async def test_a_configuration_that_cannot_be_read_changes_nothing(
    tmp_path, app_targets
):
    async with Deployment(tmp_path, *app_targets) as deployment:
        deployment.kv.write("op/config", {"version": 9, "routes": "none"})
        await asyncio.sleep(0.2)
        assert deployment.relays[0].plans.version == 3
        assert (await deployment.call("/safe/x"))[0] == 200


@pytest.mark.parametrize("how", ["hang", "gone"])
async def test_a_change_takes_effect_although_a_watch_misses_it(
    tmp_path, app_targets, how
):
    async with Deployment(tmp_path, *app_targets) as deployment:
        if how == "gone":
            deployment.kv.history_gone = True
        else:
            deployment.kv.watches_hang = True
            asyncio.get_running_loop().call_later(
                1.0, setattr, deployment.kv, "watches_hang", False
            )
        deployment.kv.write("op/config", config(6))
        await deployment.until(lambda: deployment.relays[0].plans.version == 6, 3.0)


async def test_a_draining_target_gets_no_new_requests(tmp_path, app_targets):
    async with Deployment(tmp_path, *app_targets) as deployment:
        leaving = app_targets[0]
        entry = leaving.entry(state="draining")
        deployment.kv.write(f"servers/{leaving.name}", entry)
        await deployment.until(
            lambda: len(deployment.relays[0].table.usable("app", 0.0)) == 1, 1.0
        )
        for _ in range(10):
            await deployment.call("/safe/x")
    assert leaving.runs == []


async def test_a_draining_host_answers_requests_and_closes_connections(tmp_path):
    target = TargetStandin("i-app", "app")
    target.script = ["slow"]
    async with Deployment(tmp_path, target) as deployment:
        relay = deployment.relays[0]
        call = asyncio.create_task(deployment.call("/pay/x", "POST", b"m"))
        await deployment.until(lambda: target.in_flight == 1)
        drain = asyncio.create_task(relay.drain())
        await asyncio.sleep(0.05)
        ready = f"http://{relay.cfg.listen.ready}/-/ready"
        async with deployment.session.get(ready) as resp:
            assert resp.status == 503
        status, headers, _ = await deployment.call("/pay/y", "POST", b"m")
        assert status == 200
        assert headers["Connection"] == "close"
        assert (await call)[0] == 200
        await drain
        with pytest.raises(aiohttp.ClientConnectionError):
            await deployment.call("/safe/x")


async def test_a_connection_without_a_request_is_closed_when_the_host_stops(tmp_path):
    target = TargetStandin("i-app", "app")
    async with Deployment(tmp_path, target) as deployment:
        relay = deployment.relays[0]
        host, _, port = relay.cfg.listen.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        began = asyncio.get_running_loop().time()
        await relay.drain()
        assert await reader.read() == b""
        assert asyncio.get_running_loop().time() - began < 2.0
        writer.close()


async def test_a_retired_record_host_moves_its_records(tmp_path):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        _, first, _ = await deployment.turn(b"one;")
        deployment.kv.write("op/retire/records-1", {"deadline_s": 10})
        await deployment.until(
            lambda: (
                b"completed"
                in (
                    deployment.kv.state.get("status/retire/records-1")
                    or type("No", (), {"value": b""})
                ).value
            )
        )
        assert deployment.kv.state.get(f"turns/{first}") is not None


async def test_metrics_are_served(tmp_path, app_targets):
    async with Deployment(tmp_path, *app_targets) as deployment:
        await deployment.call("/safe/x")
        url = f"http://{deployment.relays[0].cfg.listen.metrics}/metrics"
        async with deployment.session.get(url) as resp:
            text = await resp.text()
    assert 'relay_requests_total{kind="safe",status="200"}' in text


async def test_a_record_host_learns_at_once_of_new_relay_hosts(tmp_path):
    target = TargetStandin("i-lm", "lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        late = deployment.application(7)
        await late.start()
        deployment.relays.append(late)
        await deployment.until(lambda: late.records.has_live_host, 2.0)


async def test_a_leaving_target_at_anothers_address_does_not_mark_the_other(
    tmp_path, app_targets
):
    for target in app_targets:
        target.script, target.leaving = ["moved", "ok"], "1"
    async with Deployment(tmp_path, *app_targets) as deployment:
        await deployment.call("/pay/x", "POST", b"m")
        assert deployment.relays[0].table.leaving.marked() == []


@pytest.mark.parametrize("act", ["ok", "full", "error", "unsealed", "cut"])
async def test_a_target_that_announces_it_leaves_gets_no_further_request(
    tmp_path, app_targets, act
):
    """The state in its entry stays ``ready``."""
    async with Deployment(tmp_path, *app_targets) as deployment:
        await deployment.call("/pay/x", "POST", b"m")
        leaving = next(target for target in app_targets if target.runs)
        leaving.script, leaving.leaving = [act, "ok"], "1"
        marked = deployment.relays[0].table.leaving.marked
        for _ in range(40):
            if not marked():
                await deployment.call("/pay/x", "POST", b"m")
        assert [start.name for start in marked()] == [leaving.name]
        runs = len(leaving.runs)
        results = [await deployment.call("/pay/x", "POST", b"m") for _ in range(6)]
        assert [status for status, _, _ in results[1:]] == [200] * 5
        assert len(leaving.runs) == runs


async def test_a_stream_of_a_target_that_leaves_ends_and_the_next_goes_elsewhere(
    tmp_path,
):
    targets = [TargetStandin("i-1"), TargetStandin("i-2")]
    async with Deployment(tmp_path, *targets) as deployment:
        await deployment.start_records()
        _, first, _ = await deployment.turn(program="p")
        busy = next(target for target in targets if target.runs)
        busy.leaving = "1"
        status, second, body = await deployment.turn(
            program="p", Magnoliaroad_Previous_Turn=first
        )
        assert status == 200
        assert body.endswith(b"word3\n\n")
        status, _, _ = await deployment.turn(
            program="p", Magnoliaroad_Previous_Turn=second
        )
        assert status == 200
        assert len(busy.runs) == 2


async def test_peers_learn_which_target_leaves(tmp_path, app_targets):
    app_targets[0].leaving = app_targets[1].leaving = "1"
    async with Deployment(tmp_path, *app_targets, hosts=2) as deployment:
        first, second = deployment.relays
        for _ in range(2):
            await deployment.call("/safe/x")
        await deployment.until(lambda: len(second.table.leaving.marked()) == 2)
        status, headers, _ = await deployment.call("/pay/x", "POST", b"m", relay=1)
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert sum(len(target.runs) for target in app_targets) == 2


async def test_a_new_incarnation_of_a_target_that_left_is_used(tmp_path):
    target = TargetStandin("i-app", "app")
    target.leaving = "1"
    async with Deployment(tmp_path, target) as deployment:
        await deployment.call("/safe/x")
        target.leaving = None
        assert (await deployment.call("/safe/x"))[0] == 503
        deployment.kv.write("servers/i-app", target.entry(born=2000))
        table = deployment.relays[0].table
        await deployment.until(lambda: table.targets["i-app"].started_ms == 2000)
        assert (await deployment.call("/safe/x"))[0] == 200


async def test_a_malformed_leaving_header_marks_nothing_and_is_logged_once(
    tmp_path, logged
):
    target = TargetStandin("i-app", "app")
    target.leaving = "soon"
    async with Deployment(tmp_path, target) as deployment:
        for _ in range(3):
            assert (await deployment.call("/safe/x"))[0] == 200
    malformed = [line for line in logged if line["event"] == "header not understood"]
    assert [line["value"] for line in malformed] == ["soon"]
