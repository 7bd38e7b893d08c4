import asyncio
import json

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from magnoliaroad.keys import digest_key, fingerprint
from magnoliaroad.keys.withdrawal_store import add_withdrawal, read_withdrawals
from magnoliaroad.standins.deployment import DEMO_KEY, deployment
from tests.config.fleet import KEY

scenarios("keys.feature")

BODY = {
    "model": "planner",
    "messages": [{"role": "user", "content": "hello"}],
    "max_tokens": 100_000,
    "stream": True,
}


@pytest.fixture
def invalidation_events(fleet):
    """Returns, by host, the event of a caller connected before the withdrawal."""
    callers = {n: h.keys.identify(KEY).unwrap() for n, h in fleet.live.items()}
    return {n: h.keys.invalidation_event(callers[n]) for n, h in fleet.live.items()}


@when("the key is withdrawn in the store")
def _withdraw_in_store(fleet, invalidation_events):
    item = fingerprint(digest_key(KEY))
    fleet.run(add_withdrawal(fleet.store, item))


@when(parsers.parse("the key is withdrawn at host {name}"))
def _withdraw_at(fleet, invalidation_events, name):
    fleet.send_withdrawal(name)


@when("a sheet without the key is accepted")
def _accept_without_key(fleet, invalidation_events):
    fleet.write(lambda base: base._replace(grants={}))


@then(parsers.parse('all hosts refuse the key with "{code}"'))
def _all_refuse(fleet, code):
    found = {name: fleet.refusal_code(name) for name in fleet.live}
    assert found == dict.fromkeys(fleet.live, code)


@then("callers who were connected have been told")
def _connected_notified(fleet, invalidation_events):
    assert all(invalidation_events[name].is_set() for name in fleet.live)


@then("callers who connect now have not been told")
def _new_not_notified(fleet):
    for host in fleet.live.values():
        caller = host.keys.identify(KEY).unwrap()
        assert not host.keys.invalidation_event(caller).is_set()


@then("the store holds the withdrawal")
def _store_holds_withdrawal(fleet):
    stored = fleet.run(read_withdrawals(fleet.store))
    assert fingerprint(digest_key(KEY)) in stored


@then("all hosts serve the key")
def _all_serve(fleet):
    _all_refuse(fleet, "")


@then(parsers.parse('hosts {names} refuse the key with "{code}"'))
def _some_refuse(fleet, names, code):
    assert {fleet.refusal_code(name) for name in names.split()} == {code}


@then(parsers.re(r"hosts (?P<names>[a-c\d ]+) serve the key"))
def _some_serve(fleet, names):
    _some_refuse(fleet, names, "")


@given("a host that streams a long answer", target_fixture="parts")
def _streaming_host(run):
    context = deployment()
    parts = run(context.__aenter__())
    parts.engine.answer_tokens = 100_000
    yield parts
    run(context.__aexit__(None, None, None))


@when("the caller's key is withdrawn after the first words", target_fixture="events")
def _withdraw_while_connected(run, parts):
    return run(_read_stream(parts))


async def _read_stream(parts):
    url = f"{parts.url}/v1/chat/completions"
    lines = []
    async with (
        aiohttp.ClientSession(headers=parts.headers) as session,
        session.post(url, json=BODY) as resp,
    ):
        async for line in resp.content:
            if not lines:
                item = fingerprint(digest_key(DEMO_KEY))
                await add_withdrawal(parts.app.store, item)
            if line.strip():
                lines.append(line)
    return [line.removeprefix(b"data: ") for line in lines]


@then(parsers.parse('the stream ends with "{code}"'))
def _stream_ends(events, code):
    error = json.loads(events[-1])["error"]
    assert error["code"] == code
    assert error["verdict"] == "may have run"


@then(parsers.parse('the next request is refused with "{code}" as "{verdict}"'))
def _next_request_refused(run, parts, code, verdict):
    async def ask():
        url = f"{parts.url}/v1/chat/completions"
        async with (
            aiohttp.ClientSession(headers=parts.headers) as session,
            session.post(url, json=BODY) as resp,
        ):
            return (await resp.json())["error"]

    error = run(asyncio.wait_for(ask(), 10))
    assert (error["code"], error["verdict"]) == (code, verdict)
