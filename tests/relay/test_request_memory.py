"""The memory of requests, which guards against hosts over their memory (FAULT)."""

import contextlib

import pytest

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
