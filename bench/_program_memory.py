"""Measures the memory of programs at their owner and at a replica."""

import functools
import pathlib
import tempfile
import tracemalloc

from magnoliaroad.groups import GroupEntry
from magnoliaroad.groups.body_store import BodyStore, FileBodyStore, MemoryBodyStore
from magnoliaroad.groups.group_records import GroupRecords
from magnoliaroad.programs import Outcome
from magnoliaroad.programs.call import Call
from magnoliaroad.programs.program_table import RECORD_KIND, ProgramTable
from magnoliaroad.programs.settings import ProgramSettings
from magnoliaroad.verdict import Verdict

PROGRAMS = 1_000
TEXT_BYTES = 1_000


def memory_figures() -> dict[str, dict[str, float]]:
    """Returns the costs with bodies kept in memory and kept in a data folder."""
    with tempfile.TemporaryDirectory() as folder:
        files = FileBodyStore(pathlib.Path(folder))
        return {"in_memory": _costs(MemoryBodyStore()), "in_folder": _costs(files)}


def _costs(body_store: BodyStore) -> dict[str, float]:
    """Returns the bytes of memory per program, per turn and per byte of text."""
    few_turns, many_turns = (
        _measure(body_store, 2, TEXT_BYTES),
        _measure(body_store, 8, TEXT_BYTES),
    )
    long_turns = _measure(body_store, 8, 3 * TEXT_BYTES)
    turn = [(b - a) / 6 for a, b in zip(few_turns, many_turns, strict=True)]
    text_bytes = 8 * 2 * 2 * TEXT_BYTES
    text = [(b - a) / text_bytes for a, b in zip(many_turns, long_turns, strict=True)]
    owner, copy = (
        a - 2 * (per_turn - 2 * TEXT_BYTES * per_byte)
        for a, per_turn, per_byte in zip(few_turns, turn, text, strict=True)
    )
    return {
        "owner_bytes_per_program": round(owner - 4 * TEXT_BYTES * text[0]),
        "copy_bytes_per_program": round(copy - 4 * TEXT_BYTES * text[1]),
        "owner_bytes_per_turn": round(turn[0] - 2 * TEXT_BYTES * text[0]),
        "copy_bytes_per_turn": round(turn[1] - 2 * TEXT_BYTES * text[1]),
        "owner_bytes_per_text_byte": round(text[0], 2),
        "copy_bytes_per_text_byte": round(text[1], 2),
    }


def _measure(body_store: BodyStore, turns: int, text_bytes: int) -> tuple[float, float]:
    """Returns the bytes per program at the owner and at a replica."""
    tracemalloc.start()
    owner = GroupRecords("k/0", body_store)
    read = functools.partial(owner.body, RECORD_KIND)
    table = ProgramTable(ProgramSettings(), "k/0", 1, read)
    for number in range(PROGRAMS):
        for turn in range(turns):
            _run_turn(table, owner, f"program-{number}", turn, text_bytes)
    at_owner = tracemalloc.get_traced_memory()[0]
    copy = GroupRecords("k/0", body_store)
    for entry in owner.entries():
        copy.put(GroupEntry(*entry[:5], bytes(bytearray(entry.body))))
    at_copy = tracemalloc.get_traced_memory()[0] - at_owner
    tracemalloc.stop()
    return at_owner / PROGRAMS, at_copy / PROGRAMS


def _run_turn(
    table: ProgramTable, owner: GroupRecords, program: str, turn: int, text_bytes: int
) -> None:
    text = f"{turn:04}" + "x" * (text_bytes - 4)
    call = Call(program, "t", [{"role": "user", "content": text}], 100, new_only=True)
    attempt = f"{program}-{turn:027}"
    event = table.admit(call, 10**9, attempt, "host-1").unwrap().event
    table.record(program, event, 0.0)
    answer = {"role": "assistant", "content": text}
    outcome = Outcome(Verdict.RAN, answer, 10, 5, "engine-1")
    table.record(program, table.settle_event(program, attempt, outcome), 0.0)
    for entry in table.unconfirmed.pop(program):
        owner.put(entry)
