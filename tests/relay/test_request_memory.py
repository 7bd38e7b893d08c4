"""The memory of requests, which guards against hosts over their memory (FAULT)."""

import contextlib

import pytest

from magnoliaroad.caller_load.arrival import MIN_BYTES_PER_S, PAUSE_S
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import MEMORY_FULL
from magnoliaroad.relay.request_memory import SMALL_BYTES, RequestMemory

# Sizes below are in parts of the limit.
UNIT = 100_000
LIMIT = 1000 * UNIT


def test_requests_are_refused_while_the_others_hold_too_much():
    memory = RequestMemory(LIMIT)
    with memory.hold() as first, memory.hold() as second:
        first.grow(600 * UNIT)
        with pytest.raises(Refused) as refused:
            second.grow(500 * UNIT)
        assert refused.value.refusal is MEMORY_FULL
        second.grow(400 * UNIT)
    assert memory.held_bytes == 0


def test_a_large_request_runs_beside_small_ones_only():
    memory = RequestMemory(LIMIT)
    with memory.hold() as small, memory.hold() as large, memory.hold() as other:
        small.grow(200 * UNIT)
        large.grow(500 * UNIT)
        large.grow(5000 * UNIT)
        with pytest.raises(Refused):
            other.grow(600 * UNIT)
    assert memory.held_bytes == 0


def test_a_body_without_a_length_is_counted_when_it_has_arrived():
    memory = RequestMemory(LIMIT)
    with memory.hold() as held:
        held.grow(0)
        held.grow_to(300 * UNIT)
        held.grow_to(200 * UNIT)
        assert memory.held_bytes == 300 * UNIT


@pytest.mark.parametrize("requests", [1, 3, 50])
def test_the_limit_is_kept_by_requests_that_each_fit_it(requests):
    memory = RequestMemory(LIMIT)
    holds = [memory.hold() for _ in range(requests)]
    for held in holds:
        for _ in range(9):
            try:
                held.grow(100 * UNIT)
            except Refused:
                break
    assert memory.held_bytes <= LIMIT
    for held in holds:
        held.__exit__(None, None, None)
    assert memory.held_bytes == 0


def test_small_requests_run_beside_large_ones():
    memory = RequestMemory(LIMIT)
    with memory.hold() as large, memory.hold() as small:
        large.grow(5000 * UNIT)
        small.grow(SMALL_BYTES)
        with pytest.raises(Refused):
            small.grow(1)
    assert memory.held_bytes == 0


def test_buffered_answers_leave_memory_for_requests():
    memory = RequestMemory(LIMIT)
    with contextlib.ExitStack() as stack:
        answers = [stack.enter_context(memory.hold()) for _ in range(50)]
        kept = sum(answer.take_spare(20 * UNIT) for answer in answers)
        assert 0 < kept < len(answers)
        assert memory.held_bytes <= LIMIT / 2
        stack.enter_context(memory.hold()).grow(LIMIT // 2)


def test_small_answers_are_buffered_beside_large_requests():
    memory = RequestMemory(LIMIT)
    with memory.hold() as large, memory.hold() as answer:
        large.grow(LIMIT)
        assert answer.take_spare(SMALL_BYTES)
        assert not answer.take_spare(SMALL_BYTES + 1)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


def stop_short(memory, stack, size):
    """Returns the memory of a request whose body stops, and whether it was given up."""
    held, given_up = stack.enter_context(memory.hold()), []
    stack.enter_context(held.arriving(lambda: given_up.append(True)))
    held.grow(size)
    return held, given_up


def test_bodies_that_stop_short_make_room_for_others(clock):
    """Guards against a crowd that keeps a host from all larger requests."""
    memory = RequestMemory(LIMIT, clock)
    with contextlib.ExitStack() as stack:
        stopped = [stop_short(memory, stack, 90 * UNIT) for _ in range(10)]
        clock.now += 2 * PAUSE_S
        arriving, given_up = stop_short(memory, stack, 50 * UNIT)
        arriving.grow(200 * UNIT)
        given_up_count = [len(one) for _, one in stopped]
        assert given_up_count == sorted(given_up_count, reverse=True)
        assert 2 <= sum(given_up_count) < 10
        assert not given_up
        with pytest.raises(Refused) as refused:
            stopped[0][0].grow(1)
        assert refused.value.refusal is MEMORY_FULL
        assert memory.held_bytes <= LIMIT
    assert memory.held_bytes == 0


def test_bodies_that_arrive_are_not_given_up_for_others(clock):
    """Guards against large uploads that end each other, so that none arrives."""
    memory = RequestMemory(LIMIT, clock)
    with contextlib.ExitStack() as stack:
        arriving = [stop_short(memory, stack, 80 * UNIT) for _ in range(10)]
        for _ in range(20):
            clock.now += PAUSE_S / 2
            for held, _ in arriving:
                held.grow(int(MIN_BYTES_PER_S * PAUSE_S / 2))
        with pytest.raises(Refused):
            stack.enter_context(memory.hold()).grow(500 * UNIT)
        assert not any(given_up for _, given_up in arriving)


def test_bodies_that_go_on_byte_by_byte_make_room_too(clock):
    memory = RequestMemory(LIMIT, clock)
    with contextlib.ExitStack() as stack:
        dripping, given_up = stop_short(memory, stack, 900 * UNIT)
        while clock.now < 2 * PAUSE_S + 900 * UNIT / MIN_BYTES_PER_S:
            clock.now += PAUSE_S / 4
            dripping.grow(1)
        stack.enter_context(memory.hold()).grow(500 * UNIT)
        assert given_up


def test_small_bodies_that_stop_short_are_bounded_together(clock):
    """Guards against thousands of small bodies, which were never refused."""
    memory = RequestMemory(LIMIT, clock)
    with contextlib.ExitStack() as stack:
        count = 2 * LIMIT // SMALL_BYTES
        for _ in range(count):
            clock.now += 10 * PAUSE_S / count
            stop_short(memory, stack, SMALL_BYTES)
            assert memory.held_bytes <= LIMIT
    assert memory.held_bytes == 0


def test_small_requests_are_refused_if_small_ones_fill_the_limit(clock):
    memory = RequestMemory(LIMIT, clock)
    with contextlib.ExitStack() as stack:
        for _ in range(LIMIT // SMALL_BYTES):
            stack.enter_context(memory.hold()).grow(SMALL_BYTES)
        with pytest.raises(Refused):
            stack.enter_context(memory.hold()).grow(SMALL_BYTES)


def test_a_body_given_up_as_it_grows_is_counted_once(clock):
    """Guards against small bodies that wear the bound of all small ones away."""
    memory = RequestMemory(LIMIT, clock)
    with memory.hold() as large:
        large.grow(LIMIT - SMALL_BYTES)
        for _ in range(2 * LIMIT // SMALL_BYTES):
            with memory.hold() as held, held.arriving(lambda: None):
                held.grow(SMALL_BYTES - 1)
                clock.now += 2 * PAUSE_S
                with contextlib.suppress(Refused):
                    held.grow(2)
    with contextlib.ExitStack() as stack:
        for _ in range(LIMIT // SMALL_BYTES):
            stack.enter_context(memory.hold()).grow(SMALL_BYTES)
        with pytest.raises(Refused):
            stack.enter_context(memory.hold()).grow(SMALL_BYTES)
