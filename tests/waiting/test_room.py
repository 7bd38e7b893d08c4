"""How requests wait for room, with a virtual clock."""

import asyncio
import time

import pytest

from magnoliaroad.waiting.room import WaitingRequest, WaitingRoom
from magnoliaroad.waiting.room_queue import MIN_ENDS, MIN_PAUSE_S
from magnoliaroad.waiting.settings import WaitingSettings
from magnoliaroad.waiting.standing import Standing
from tests.fakes.loop import VirtualTimeLoop

USUAL = Standing(1, 0.5, True)


@pytest.fixture
def run(monkeypatch):
    """Runs a coroutine function with a room on a virtual clock."""
    loop = VirtualTimeLoop()
    monkeypatch.setattr(time, "monotonic", loop.time)
    room = WaitingRoom(WaitingSettings(enabled="on"), lambda service, now: False)
    yield lambda scenario: loop.run_until_complete(scenario(room))
    loop.close()


def request(request_id="r", standing=USUAL, team="t", since=None, **changes):
    now = time.monotonic() if since is None else since
    fields = WaitingRequest(request_id, "app", team, standing, 10, now, now + 3.0)
    return fields._replace(**changes)


async def begin(room, *requests):
    tasks = [asyncio.create_task(room.wait(r)) for r in requests]
    await asyncio.sleep(0)
    return tasks


def test_two_requests_with_the_same_id_both_go_on(run):
    """Guards against a caller that sends again while its first request waits.

    The second replaced the first in the queue, and nobody was woken any more.
    """

    async def scenario(room):
        tasks = await begin(room, request("same"), request("same"), request("other"))
        assert await asyncio.gather(*tasks) == [True, True, True]
        assert room.count("app") == 0
        assert not room._woken
        assert room._held_bytes == 0

    run(scenario)


def test_a_stopping_host_refuses_waiting_requests_in_order(run):
    """Guards against requests that are held until the drain's limit."""

    async def scenario(room):
        order = []

        async def wait(name, standing):
            order.append((name, await room.wait(request(name, standing))))

        low = asyncio.create_task(wait("low", Standing(2, 0.5, True)))
        high = asyncio.create_task(wait("high", Standing(0, 0.5, True)))
        await asyncio.sleep(0)
        room.stop()
        await asyncio.gather(low, high)
        assert order == [("high", False), ("low", False)]
        assert not await room.wait(request())
        assert time.monotonic() < MIN_PAUSE_S

    run(scenario)


def test_a_request_that_cannot_get_room_in_time_is_refused_at_once(run):
    """Guards against requests that wait in vain and are refused late."""

    async def scenario(room):
        names = [f"r-{number}" for number in range(100)]
        tasks = await begin(room, *map(request, names))
        for _ in range(MIN_ENDS + 5):
            await asyncio.sleep(0.019)
            room.record_end("app")
        began = time.monotonic()
        assert not await room.wait(request("late"))
        assert time.monotonic() == began
        (urgent,) = await begin(room, request("urgent", Standing(0, 0.5, True)))
        assert await urgent
        await asyncio.gather(*tasks)

    run(scenario)


def test_new_requests_do_not_slow_down_the_tries_of_others(run):
    """Guards against a pause that new requests lengthen, rather than failed tries."""

    async def scenario(room):
        tasks = await begin(room, *(request(str(n), since=-0.001) for n in range(5)))
        assert room._queues["app"].pause_s == MIN_PAUSE_S
        await asyncio.gather(*tasks)

    run(scenario)


def test_a_new_request_goes_behind_those_that_wait_unless_it_outranks_them(run):
    """Guards against new requests that take each place before the waiting ones."""

    async def scenario(room):
        assert room.goes_first("app", USUAL)
        tasks = await begin(room, request())
        await asyncio.sleep(0.001)
        assert not room.goes_first("app", USUAL)
        assert room.goes_first("app", Standing(0, 0.5, True))
        assert room.goes_first("other", USUAL)
        await asyncio.gather(*tasks)

    run(scenario)
