"""Connections whose bodies come in small chunks take turns."""

import asyncio

from magnoliaroad.caller_load.parse_turns import (
    TURN_CONNECTIONS,
    ParseTurns,
    has_small_chunks,
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


def test_only_small_chunks_wait():
    assert has_small_chunks(2048, 341)
    assert not has_small_chunks(32_768, 32_600)
    assert not has_small_chunks(32_768, 20_000)
    assert not has_small_chunks(12, 1)
