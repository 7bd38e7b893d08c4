import aiohttp
import pytest

from magnoliaroad.config import ConfigReplica, Target
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.standins.deployment import DATA_CENTRE, DEMO_KEY
from magnoliaroad.standins.engine_server import EngineServer
from tests.entry.hosts import HEADERS, UNUSED_URL, chat_body, host_with_target


async def post(url, body, headers=HEADERS, path="/v1/chat/completions"):
    async with (
        aiohttp.ClientSession() as session,
        session.post(url + path, headers=headers, **body) as resp,
    ):
        return resp.status, dict(resp.headers), await resp.json()


def with_dead_target(config, url):
    """Adds a target that refuses connections, listed before the live one."""
    dead = Target("engine-0", "planner", UNUSED_URL, DATA_CENTRE)
    return config._replace(targets={"engine-0": dead, **config.targets})


def only_dead_target(config, url):
    dead = config.targets["engine-1"]._replace(url=UNUSED_URL)
    return config._replace(targets={**config.targets, "engine-1": dead})


async def test_a_refused_connection_is_retried_at_another_target():
    engine = EngineServer()
    async with host_with_target(engine.app(), with_dead_target) as (_, url):
        answers = [await post(url, {"json": chat_body()}) for _ in range(4)]
    assert [status for status, _, _ in answers] == [200] * 4
    assert len(engine.requests) == 4


async def test_a_request_that_reached_no_target_is_refused_as_not_run():
    async with host_with_target(EngineServer().app(), only_dead_target) as (_, url):
        status, headers, answer = await post(url, {"json": chat_body()})
    assert status in (502, 503)
    assert answer["error"]["verdict"] == "not run"
    assert int(headers["Retry-After"]) >= 1


BAD = {
    "not JSON": ({"data": b"{"}, 400, "bad_request"),
    "no model": ({"json": {"messages": [{"role": "user"}]}}, 400, "bad_request"),
    "no messages": ({"json": {"model": "planner"}}, 400, "bad_request"),
    "bad message": (
        {"json": {"model": "planner", "messages": ["hi"]}},
        400,
        "bad_request",
    ),
    "bad limit": ({"json": chat_body(max_tokens=-1)}, 400, "bad_request"),
    "unknown model": (
        {"json": {**chat_body(), "model": "other"}},
        404,
        "route_unknown",
    ),
    "service as model": (
        {"json": {**chat_body(), "model": "payouts"}},
        404,
        "route_unknown",
    ),
    "key in body": ({"json": chat_body(DEMO_KEY)}, 400, "key_in_request"),
    "too large": ({"data": b"x" * 2000}, 413, "request_entity_too_large"),
}


@pytest.mark.parametrize("case", BAD)
async def test_bad_requests_are_refused_as_not_run(case):
    body, status, code = BAD[case]
    engine = EngineServer()
    entry = EntrySettings(max_body_bytes=1000, drain_notice_s=0.0)
    async with host_with_target(engine.app(), entry=entry) as (_, url):
        answer = await post(url, body)
    assert (answer[0], answer[2]["error"]["code"]) == (status, code)
    assert answer[2]["error"]["verdict"] == "not run"
    assert not engine.requests


async def test_unknown_paths_are_refused_in_the_same_form():
    async with host_with_target(EngineServer().app()) as (_, url):
        status, _, answer = await post(url, {}, path="/v2/unknown")
    assert (status, answer["error"]["code"]) == (404, "not_found")


async def read_metrics(url):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{url}/metrics") as resp,
    ):
        return await resp.text()


def answered(text):
    series = 'magnoliaroad_requests_total{kind="chat",status="200"} '
    values = [x for x in text.splitlines() if x.startswith(series)]
    return sum(float(x.removeprefix(series)) for x in values)


async def test_metrics_count_requests_and_never_name_keys():
    async with host_with_target(EngineServer().app()) as (_, url):
        before = answered(await read_metrics(url))
        await post(url, {"json": chat_body()})
        text = await read_metrics(url)
    assert answered(text) == before + 1
    assert DEMO_KEY not in text


def open_route(config, url):
    route = config.routes["planner"]._replace(open=True, teams=())
    return config._replace(routes={**config.routes, "planner": route})


async def test_a_route_open_to_all_serves_callers_without_a_key():
    async with host_with_target(EngineServer().app(), open_route) as (_, url):
        status, _, answer = await post(url, {"json": chat_body()}, headers={})
    assert status == 200
    assert answer["usage"]["completion_tokens"] == 8


async def test_without_a_configuration_callers_without_a_key_get_not_ready():
    async with host_with_target(EngineServer().app()) as (app, url):
        app.config.replica = ConfigReplica()
        status, _, answer = await post(url, {"json": chat_body()}, headers={})
    assert (status, answer["error"]["code"]) == (503, "not_ready")
