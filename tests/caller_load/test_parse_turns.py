"""Connections whose bodies come in small chunks take turns."""

import asyncio

from magnoliaroad.caller_load.parse_turns import (
    TURN_CONNECTIONS,
    TURN_STEPS,
    ParseTurns,
    count_steps,
)
from magnoliaroad.caller_load.read_size import (
    FIRST_READ_BYTES,
    MAX_READ_BYTES,
    ReadSize,
)
from tests.fakes.loop import VirtualTimeLoop


class Conn:
    """A connection that always has more to read."""

    def __init__(self, turns, taken):
        self.turns = turns
        self.taken = taken

    def take_turn(self):
        self.taken.append(self)
        self.turns.add(self)


def play(count, turns_of_loop):
    """Returns the connections that were read, by iteration of the event loop."""

    async def run():
        turns, read = ParseTurns(), []
        for _ in range(count):
            turns.add(Conn(turns, read))
        counts = []
        for _ in range(turns_of_loop):
            before = len(read)
            await asyncio.sleep(0)
            counts.append(len(read) - before)
        return counts, read

    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()


def test_one_iteration_of_the_loop_reads_a_few_of_many():
    """Guards against a crowd that takes all of the event loop's time."""
    counts, _ = play(200, 50)
    assert max(counts) <= TURN_CONNECTIONS


def test_a_single_body_is_read_without_pauses():
    counts, _ = play(1, 20)
    assert sum(counts) >= 18


def test_all_of_many_get_their_turn():
    async def run():
        turns, read = ParseTurns(), []
        conns = [Conn(turns, read) for _ in range(40)]
        for conn in conns:
            turns.add(conn)
        await asyncio.sleep(1.0)
        assert set(read) == set(conns)
        counts = [read.count(conn) for conn in conns]
        assert max(counts) - min(counts) <= 1

    loop = VirtualTimeLoop()
    loop.run_until_complete(run())
    loop.close()


def test_only_reads_with_many_parts_wait():
    """As many as fill a turn are parsed in it; heads and large chunks always are."""

    async def run():
        turns = ParseTurns()
        steps = count_steps(b"1\r\nx\r\n" * 340)
        admitted = [turns.admit(steps) for _ in range(100)]
        assert admitted.count(True) == TURN_STEPS // steps
        assert turns.admit(count_steps(b"X-Field: a\r\n" * 40))
        assert turns.admit(count_steps(b"7fff\r\n" + b"x" * 32_767 + b"\r\n"))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert turns.admit(10 * TURN_STEPS)
        assert not turns.admit(steps)

    asyncio.run(run())


def test_reads_grow_while_they_are_filled_with_large_parts():
    size = ReadSize()
    sizes = [size.adapt(size.size, 2) for _ in range(5)]
    assert sizes == [2 * FIRST_READ_BYTES, 4 * FIRST_READ_BYTES, *[MAX_READ_BYTES] * 3]
    assert size.adapt(MAX_READ_BYTES // 2, 2) == MAX_READ_BYTES
    assert size.adapt(600, 2 * 600 // 6) == FIRST_READ_BYTES
    assert size.adapt(600, 20) == FIRST_READ_BYTES
