import asyncio
from urllib.parse import urlsplit

import aiohttp
import pytest
import yarl

from magnoliaroad.config import Target
from magnoliaroad.operators.keys import withdraw_key
from magnoliaroad.standins.deployment import DATA_CENTRE, DEMO_KEY
from magnoliaroad.standins.link import Link
from magnoliaroad.targets.settings import TargetSettings
from tests.entry.hosts import HEADERS, UNUSED_URL, host_with_target
from tests.entry.services import BIG_BODY, FaultyService

PAID = HEADERS | {"Idempotency-Key": "prize-17"}


def payout_edit(repeatable=True, dead=False, link=None):
    """Returns an edit that makes the test's application the payout service."""

    def edit(config, url):
        if link is not None:
            link.target = urlsplit(url).hostname, urlsplit(url).port
            url = f"http://{link.address}:{link.port}"
        route = config.routes["payouts"]._replace(repeatable=repeatable)
        live = config.targets["records-1"]._replace(url=url)
        targets = {"records-1": live}
        if dead:
            first = Target("records-0", "payouts", UNUSED_URL, DATA_CENTRE)
            targets = {"records-0": first, **targets}
        return config._replace(routes={"payouts": route}, targets=targets)

    return edit


async def call(url, kind, method="POST", headers=HEADERS, **body):
    target = yarl.URL(f"{url}/services/payouts/{kind}", encoded=True)
    async with (
        aiohttp.ClientSession(auto_decompress=False) as session,
        session.request(method, target, headers=headers, **body) as resp,
    ):
        return resp.status, resp.headers, await resp.read()


async def refusal(url, kind, **request):
    target = f"{url}/services/payouts/{kind}"
    request = {"method": "POST", "headers": PAID} | request
    async with (
        aiohttp.ClientSession() as session,
        session.request(url=target, **request) as resp,
    ):
        error = (await resp.json())["error"]
        return error["code"], error["verdict"]


@pytest.mark.parametrize("repeatable", [True, False])
async def test_answers_are_forwarded_with_their_headers(repeatable):
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(repeatable)) as (_, url):
        _, headers, small = await call(url, "small", headers=PAID)
        big = await call(url, "big", headers=PAID | {"Idempotency-Key": "other"})
    assert headers.getall("Set-Cookie") == ["a=1", "b=2"]
    assert headers["ETag"] == '"7"'
    assert "X-Hop" not in headers
    assert small == b'{"run": 1}'
    assert big[2] == BIG_BODY


async def test_credentials_and_hop_by_hop_headers_are_not_forwarded():
    service = FaultyService()
    extra = {"Cookie": "s=1", "Proxy-Authorization": "x", "X-Api-Key": "y", "TE": "t"}
    async with host_with_target(service.app(), payout_edit()) as (_, url):
        await call(url, "small?a=%2F1", headers=HEADERS | extra)
    [request] = service.requests
    assert not {"Authorization", *extra} & set(request["headers"])
    assert DEMO_KEY not in str(request)
    assert request["path"] == "/small?a=%2F1"
    assert request["headers"]["Accept-Encoding"] in ("identity", "gzip, deflate")


ESCAPED_KEY = DEMO_KEY.replace("-", "\\u002d")
LEAKS = {
    "query": {"kind": f"small?key={DEMO_KEY}"},
    "encoded query": {"kind": "small?key=" + DEMO_KEY.replace("-", "%2D")},
    "body": {"kind": "small", "data": f"key={DEMO_KEY}"},
    "escaped body": {
        "kind": "small",
        "data": f'{{"key": "{ESCAPED_KEY}"}}',
    },
    "header": {"kind": "small", "headers": HEADERS | {"Idempotency-Key": DEMO_KEY}},
}


@pytest.mark.parametrize("leak", LEAKS)
async def test_a_request_that_carries_the_key_elsewhere_is_refused(leak):
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(False)) as (_, url):
        refused = await refusal(url, **LEAKS[leak])
    assert refused == ("key_in_request", "not run")
    assert service.runs == 0


async def test_an_incomplete_answer_does_not_pass_for_complete():
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit()) as (_, url):
        with pytest.raises(aiohttp.ClientPayloadError):
            await call(url, "cut")
        assert (await call(url, "big"))[2] == BIG_BODY


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
async def test_a_payment_whose_connection_is_lost_is_never_sent_again(method):
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(False)) as (_, url):
        first = await refusal(url, "reset", method=method)
        repeat = await refusal(url, "reset", method=method)
    assert first == ("target_failed", "may have run")
    assert repeat == ("may_have_run", "may have run")
    assert service.runs == 1


async def test_a_payment_is_sent_to_another_target_if_one_refuses_connections():
    service = FaultyService()
    edit = payout_edit(repeatable=False, dead=True)
    async with host_with_target(service.app(), edit) as (_, url):
        answers = [
            await call(url, "small", headers=HEADERS | {"Idempotency-Key": f"{n}"})
            for n in range(4)
        ]
    assert [status for status, _, _ in answers] == [200] * 4
    assert service.runs == 4


async def test_a_payment_completes_after_its_caller_disconnects():
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(False)) as (_, url):
        task = asyncio.create_task(call(url, "waits", headers=PAID))
        while not service.runs:
            await asyncio.sleep(0.01)
        task.cancel()
        assert await refusal(url, "waits") == ("in_progress", "may have run")
        service.proceed.set()
        status, headers, body = await call(url, "waits", headers=PAID)
        while status == 409:
            status, headers, body = await call(url, "waits", headers=PAID)
    assert (status, body) == (200, b'{"run": 1}')
    assert headers["Idempotent-Replayed"] == "true"
    assert service.runs == 1


async def test_a_payment_completes_after_its_key_is_withdrawn():
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(False)) as (app, url):
        task = asyncio.create_task(refusal(url, "waits"))
        while not service.runs:
            await asyncio.sleep(0.01)
        grant = next(iter(app.config.current.grants.values()))
        await withdraw_key(app.store, grant.digest)
        assert await task == ("key_withdrawn", "may have run")
        assert not await app.entry.in_flight.wait_idle(0.05)
        service.proceed.set()
        assert await app.entry.in_flight.wait_idle(10)
    assert service.runs == 1


async def test_a_large_answer_is_sent_once_and_only_its_digest_is_kept():
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(False)) as (_, url):
        assert (await call(url, "big", headers=PAID))[2] == BIG_BODY
        assert await refusal(url, "big") == ("answer_not_kept", "ran")
    assert service.runs == 1


async def test_a_call_without_an_idempotency_key_is_refused():
    service = FaultyService()
    async with host_with_target(service.app(), payout_edit(False)) as (_, url):
        refused = await refusal(url, "small", headers=HEADERS)
    assert refused == ("bad_request", "not run")
    assert service.runs == 0


async def test_a_silent_connection_is_replaced():
    service = FaultyService()
    link = Link("127.0.0.1", 0, ("127.0.0.1", 0))
    await link.start()
    limits = TargetSettings(first_byte_timeout_s=0.2, silence_timeout_s=0.2)
    edit = payout_edit(repeatable=False, link=link)
    async with host_with_target(service.app(), edit, targets=limits) as (_, url):
        await call(url, "small", headers=HEADERS | {"Idempotency-Key": "first"})
        link.cut()
        assert await refusal(url, "small") == ("target_failed", "may have run")
        link.heal()
        assert await refusal(url, "small") == ("may_have_run", "may have run")
        other = HEADERS | {"Idempotency-Key": "other"}
        assert (await call(url, "small", headers=other))[0] == 200
    link.close()
    assert service.runs == 2
