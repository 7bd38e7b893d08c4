"""Time limits while the whole process stands still."""

import asyncio

import pytest

from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.relay.turn_ledger import TurnLedger
from magnoliaroad.stall_timeout import STALL_S, stall_timeout

LIMIT_S = TurnSettings().store_patience_s


def stall(loop, seconds):
    """Moves the clock on, as if the process was stopped and continued."""
    loop._time_selector.now += seconds


class SlowRecords:
    """Record hosts whose reply takes ``reply_s``, or is there after a stall."""

    def __init__(self, reply_s):
        self.reply_s = reply_s

    async def keep(self, key, value, keep_s, in_store_only=False):
        await asyncio.sleep(self.reply_s)


def save(records):
    return TurnLedger(records, TurnSettings()).save("t-1", "team", b"x", None, 60.0)


@pytest.mark.parametrize("stall_s", [1.0, 3.0, 10.0])
def test_a_turn_is_kept_although_its_host_stood_still(loop, stall_s):
    """LOST: the limit was due before the replies in the sockets were read."""

    async def run():
        loop.call_later(LIMIT_S - 0.5, stall, loop, stall_s)
        await save(SlowRecords(LIMIT_S + 0.5))

    loop.run_until_complete(run())


def test_the_limit_holds_on_a_host_that_runs(loop):
    async def run():
        with pytest.raises(TimeoutError):
            await save(SlowRecords(LIMIT_S + 0.1))
        assert loop.time() == pytest.approx(LIMIT_S, abs=0.01)

    loop.run_until_complete(run())


def test_the_limit_starts_only_once_more(loop):
    async def run():
        loop.call_later(LIMIT_S - 0.5, stall, loop, 3.0)
        loop.call_later(LIMIT_S + 3.0, stall, loop, 3.0)
        with pytest.raises(TimeoutError):
            await save(SlowRecords(60.0))
        assert loop.time() < 3 * LIMIT_S + 6.0

    loop.run_until_complete(run())


def test_a_timer_that_is_hardly_late_is_no_stall(loop):
    async def run():
        loop.call_later(1.0, stall, loop, STALL_S / 2)
        with pytest.raises(TimeoutError):
            async with stall_timeout(1.0):
                await asyncio.sleep(60.0)
        assert loop.time() < 1.0 + STALL_S

    loop.run_until_complete(run())


def test_work_that_ends_in_time_leaves_no_timer(loop):
    async def run():
        async with stall_timeout(1.0):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    loop.run_until_complete(run())
