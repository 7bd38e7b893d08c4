"""The memory of requests, which guards against hosts over their memory (FAULT)."""

import pytest

from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import MEMORY_FULL
from magnoliaroad.relay.request_memory import RequestMemory

LIMIT = 1000


def test_requests_are_refused_while_the_others_hold_too_much():
    memory = RequestMemory(LIMIT)
    with memory.hold() as first, memory.hold() as second:
        first.grow(600)
        with pytest.raises(Refused) as refused:
            second.grow(500)
        assert refused.value.refusal is MEMORY_FULL
        second.grow(400)
    assert memory.held_bytes == 0


def test_a_large_request_runs_beside_small_ones_only():
    memory = RequestMemory(LIMIT)
    with memory.hold() as small, memory.hold() as large, memory.hold() as other:
        small.grow(200)
        large.grow(500)
        large.grow(5000)
        with pytest.raises(Refused):
            other.grow(600)
    assert memory.held_bytes == 0


def test_a_body_without_a_length_is_counted_when_it_has_arrived():
    memory = RequestMemory(LIMIT)
    with memory.hold() as held:
        held.grow(0)
        held.grow_to(300)
        held.grow_to(200)
        assert memory.held_bytes == 300


@pytest.mark.parametrize("requests", [1, 3, 50])
def test_the_limit_is_kept_by_requests_that_each_fit_it(requests):
    memory = RequestMemory(LIMIT)
    holds = [memory.hold() for _ in range(requests)]
    for held in holds:
        for _ in range(9):
            try:
                held.grow(100)
            except Refused:
                break
    assert memory.held_bytes <= LIMIT
    for held in holds:
        held.__exit__(None, None, None)
    assert memory.held_bytes == 0
