"""Two attempts at a request, of which the first that succeeds is kept."""

import asyncio

import pytest

from magnoliaroad.hedging.race import race
from tests.fakes.loop import VirtualTimeLoop


class Attempts:
    """Attempts that answer or fail after some time."""

    def __init__(self):
        self.cancelled = []
        self.discarded = []

    async def run(self, name, after_s, fails=False):
        try:
            await asyncio.sleep(after_s)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise
        if fails:
            raise ValueError(name)
        return name


@pytest.fixture
def attempts():
    return Attempts()


def play(attempts, first, second, age_s=0.1):
    def start_second():
        return None if second is None else attempts.run("second", *second)

    async def run():
        began = asyncio.get_running_loop().time()
        result = await race(
            attempts.run("first", *first),
            age_s,
            start_second,
            attempts.discarded.append,
        )
        return result, asyncio.get_running_loop().time() - began

    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def test_a_quick_answer_has_no_second_attempt(attempts):
    result, _ = play(attempts, (0.05,), (0.01,))
    assert result == ("first", False, False)


def test_the_second_attempt_wins_and_the_first_is_cancelled_at_once(attempts):
    result, took_s = play(attempts, (1.0,), (0.05,))
    assert result == ("second", True, True)
    assert took_s == pytest.approx(0.15)
    assert attempts.cancelled == ["first"]


def test_the_first_attempt_wins_and_the_second_is_cancelled(attempts):
    result, _ = play(attempts, (0.2,), (1.0,))
    assert result == ("first", False, True)
    assert attempts.cancelled == ["second"]


def test_a_failure_waits_for_the_other_attempt(attempts):
    assert play(attempts, (0.2, True), (0.5,))[0] == ("second", True, True)
    assert play(attempts, (0.5,), (0.1, True))[0] == ("first", False, True)


def test_if_both_fail_the_error_of_the_first_is_raised(attempts):
    with pytest.raises(ValueError, match="first"):
        play(attempts, (0.2, True), (0.3, True))


def test_without_a_second_target_the_first_attempt_goes_on(attempts):
    assert play(attempts, (0.5,), None)[0] == ("first", False, False)


def test_an_answer_that_comes_at_the_same_moment_is_discarded(attempts):
    """Guards against a connection that is never closed."""
    result, _ = play(attempts, (0.3,), (0.2,))
    assert result.winner == "first"
    assert attempts.discarded + attempts.cancelled == ["second"]


def test_a_caller_that_leaves_ends_both_attempts(attempts):
    def start_second():
        return attempts.run("second", 5.0)

    async def run():
        racing = asyncio.ensure_future(
            race(attempts.run("first", 5.0), 0.1, start_second, lambda late: None)
        )
        await asyncio.sleep(0.5)
        racing.cancel()
        await asyncio.wait([racing])

    loop = VirtualTimeLoop()
    loop.run_until_complete(run())
    loop.close()
    assert sorted(attempts.cancelled) == ["first", "second"]


def test_an_answer_after_a_race_that_was_cancelled_twice_is_discarded(attempts):
    """Guards against a connection that stays open as its answer came during the end."""

    async def answer_late():
        try:
            await asyncio.sleep(1.0)
        except asyncio.CancelledError:
            await asyncio.sleep(0.05)
        return "late"

    async def run():
        discard = attempts.discarded.append
        task = asyncio.ensure_future(race(answer_late(), 0.1, None, discard))
        for _ in range(2):
            await asyncio.sleep(0.01)
            task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.2)

    loop = VirtualTimeLoop()
    loop.run_until_complete(run())
    loop.close()
    assert attempts.discarded == ["late"]
