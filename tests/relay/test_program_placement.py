"""Programs stay on the target that caches their prompt, while targets come and go."""

import asyncio
import random
import statistics
from typing import NamedTuple

import pytest

from magnoliaroad.relay.placement import (
    choose_by_program,
    choose_by_session,
    choose_least_loaded,
)
from magnoliaroad.relay.program_targets import ProgramTargets
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_table import TargetTable
from tests.fakes.peers import PeerNetwork

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
TURNS = 9


class Replay(NamedTuple):
    """Figures of a replayed load.

    Attributes:
        moves: Turns that left a target which still took requests, so that the prompt of
            their program was computed again.
        peaks: Largest load of a target against the mean, of each sample.
    """

    moves: int
    peaks: list[float]


def make_target(number):
    return RelayTarget(
        f"t{number}",
        "engines",
        f"127.0.0.1:{9000 + number}",
        DATA_CENTRES[number % 3],
        64,
        TargetState.READY,
    )


def replay(by_program, seed, lost=(), back=0):
    """Replays a burst of programs, each with its next turn after the last has ended.

    Args:
        by_program: Whether programs keep their target, or follow the hash.
        seed: Seed of the order of turns.
        lost: Names of the targets that are lost after a third of the steps.
        back: Step at which they are back.
    """
    rng = random.Random(seed)
    table = TargetTable()
    targets = [make_target(number) for number in range(6)]
    placed, running, moves, peaks = {}, [], 0, []
    turns_left = {f"p{number}": TURNS for number in range(150)}
    step = 0
    while turns_left:
        step += 1
        gone = bool(lost) and 200 <= step < back
        usable = [t for t in targets if not (gone and t.name in lost)]
        busy = {program for program, _ in running}
        idle = sorted(turns_left.keys() - busy)
        if len(running) >= 60 or not idle:
            program, target = running.pop(rng.randrange(len(running)))
            table.record_end(target)
            turns_left[program] -= 1
            if not turns_left[program]:
                del turns_left[program]
            continue
        program = rng.choice(idle)
        data_centre = DATA_CENTRES[int(program[1:]) % 3]
        if by_program:
            target = choose_by_program(
                table, usable, program, placed.get(program, ""), data_centre
            )
        else:
            target = choose_by_session(table, usable, program, data_centre)
        last = placed.get(program, target.name)
        moves += last != target.name and any(t.name == last for t in usable)
        placed[program] = target.name
        table.record_start(target.name)
        running.append((program, target.name))
        loads = [table.load(t.name) for t in usable]
        if len(running) >= 50:
            peaks.append(max(loads) / statistics.mean(loads))
    return Replay(moves, peaks)


def test_a_target_that_is_lost_and_back_takes_no_programs_from_others():
    """Load pattern: an engine crashes in a burst and is back seconds later."""
    by_hash = [replay(False, seed, ("t1",), 700).moves for seed in range(5)]
    kept = [replay(True, seed, ("t1",), 700).moves for seed in range(5)]
    assert sum(kept) <= 0.5 * sum(by_hash)


@pytest.mark.parametrize("seed", range(5))
def test_new_programs_even_out_the_load(seed):
    """Load pattern: a burst of long programs on engines that are half full."""
    by_hash = statistics.mean(replay(False, seed).peaks)
    kept = statistics.mean(replay(True, seed).peaks)
    assert kept < by_hash


def test_a_data_centre_that_is_cut_off_uses_its_own_targets():
    """Load pattern: a data centre is cut off; the others' targets show no load."""
    table = TargetTable()
    targets = [make_target(number) for number in range(6)]
    for target in targets:
        table.set(target)
    table.set_remote_in_flight("dc-1-host", {"t0": 8, "t3": 9})
    table.silent_data_centres = {"dc-2", "dc-3"}
    for number in range(50):
        usable = table.usable("engines", 0.0)
        target = choose_by_program(table, usable, f"p{number}", "t1", "dc-1")
        assert target.data_centre == "dc-1"
    others = table.usable("engines", 0.0, {"t0", "t3"})
    assert sorted(target.name for target in others) == ["t1", "t2", "t4", "t5"]


def test_an_added_target_gets_new_programs_and_no_running_ones():
    table = TargetTable()
    targets = [make_target(0), make_target(3)]
    for _ in range(10):
        table.record_start("t0")
        table.record_start("t3")
    added = make_target(6)
    choose = choose_by_program
    assert choose(table, [*targets, added], "new", "", "dc-1") == added
    assert choose(table, [*targets, added], "old", "t0", "dc-1") == targets[0]


def test_a_program_leaves_an_overloaded_target():
    table = TargetTable()
    targets = [make_target(0), make_target(3)]
    for _ in range(30):
        table.record_start("t0")
    assert choose_by_program(table, targets, "p", "t0", "dc-1").name == "t3"


def test_a_new_program_stays_in_its_data_centre_unless_others_have_far_less_load():
    table = TargetTable()
    near, far = make_target(0), make_target(1)
    table.record_start("t0")
    assert choose_by_program(table, [near, far], "p", "", "dc-1") == near
    for _ in range(9):
        table.record_start("t0")
    assert choose_by_program(table, [near, far], "p", "", "dc-1") == far


def test_all_hosts_learn_a_programs_target_from_its_home_host(loop):
    async def scenario():
        network = PeerNetwork()
        names = ["a", "b", "c"]
        hosts = {
            name: ProgramTargets(name, network.join(name), lambda: names)
            for name in names
        }
        assert await hosts["a"].find("p") == ""
        hosts["a"].assign("p", "t1")
        await asyncio.sleep(0.01)
        assert [await hosts[name].find("p") for name in names] == ["t1"] * 3
        hosts["b"].assign("p", "t2")
        await asyncio.sleep(0.01)
        assert await hosts["c"].find("p") == "t2"

    loop.run_until_complete(scenario())


def test_a_home_host_that_does_not_answer_delays_a_turn_little(loop):
    async def scenario():
        network = PeerNetwork()
        targets = ProgramTargets("a", network.join("a"), lambda: ["gone"])
        began = loop.time()
        assert await targets.find("p") == ""
        assert loop.time() - began <= 0.06

    loop.run_until_complete(scenario())


@pytest.mark.parametrize("seed", range(3))
def test_few_plain_calls_are_lost_with_another_data_centre(seed):
    """Load pattern: services that are a third full when a data centre is cut off."""
    rng = random.Random(seed)
    table = TargetTable()
    targets = [make_target(number)._replace(slots=6) for number in range(7)]
    running, crossing = [], []
    for number in range(2000):
        if len(running) >= 14:
            target, _ = running.pop(rng.randrange(len(running)))
            table.record_end(target.name)
        data_centre = rng.choice(DATA_CENTRES)
        target = choose_least_loaded(table, targets, data_centre, f"r{number}")
        table.record_start(target.name)
        running.append((target, target.data_centre != data_centre))
        crossing.append(sum(crosses for _, crosses in running) / len(running))
    assert statistics.mean(crossing) < 0.2
