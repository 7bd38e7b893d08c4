"""Measures the cost per unit of a host's components on the real objects."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack

from bench._config_size import large_config, measure_sizes
from bench._decision_time import decision_time_us
from bench._program_memory import memory_figures
from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.member import Member
from magnoliaroad.groups.messages import CopyAppend
from magnoliaroad.groups.table import GroupTable, pack_table
from magnoliaroad.groups.view import GroupView
from magnoliaroad.limits.borrower import Borrower
from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.peers import MessageCatalogue
from magnoliaroad.peers.frame import Frame, FrameKind, FrameReader, pack_frame
from magnoliaroad.queueing.fair_queue import FairQueue
from magnoliaroad.queueing.job import Job
from magnoliaroad.queueing.queue_order import QueueOrder
from magnoliaroad.routing.prefix import prefix_digests
from magnoliaroad.routing.prefix_index import PrefixIndex

ROUNDS = 5
UNITS = 2000
HOSTS_OF_A_DATA_CENTRE = 43


class Slopes(NamedTuple):
    """Costs per unit; times are processor time of one core.

    Attributes:
        place_us: Placing and releasing a request with 13 runners.
        place_us_1900: Placing and releasing a request with 1,900 runners.
        digest_us_per_ktoken: Computing the prefix digests of 1,000 prompt tokens.
        queue_us: Adding a request to a queue of 1,000, finding the next, removing one.
        message_us: Packing and unpacking a message with a record of 2 KB.
        record_overhead_bytes: Size of a record's message without the record's body.
        program_bytes: Memory of a program at its owner, without its turns.
        turn_bytes: Memory of a turn at the owner, with the text in the data folder.
        program_copy_bytes: Memory of a program at a replica, without its turns.
        turn_copy_bytes: Memory of a turn at a replica.
        text_bytes: Memory per byte of text on a host without a data folder.
        index_bytes: Memory of an entry of the prefix index.
        limiter_bytes: Memory of a team that is active on a host.
        hint_bytes_per_target: Size of a hint per target.
        config_bytes: Size of the packed configuration of 5,100 teams.
        config_memory_bytes: Memory of that configuration.
        config_change_bytes: Size of the parts that change with one team.
        config_change_ms: Time to load that change.
        group_table_bytes: Size of the packed table of one data centre's groups.
    """

    place_us: float
    place_us_1900: float
    digest_us_per_ktoken: float
    queue_us: float
    message_us: float
    record_overhead_bytes: float
    program_bytes: float
    turn_bytes: float
    program_copy_bytes: float
    turn_copy_bytes: float
    text_bytes: float
    index_bytes: float
    limiter_bytes: float
    hint_bytes_per_target: float
    config_bytes: float
    config_memory_bytes: float
    config_change_bytes: float
    config_change_ms: float
    group_table_bytes: float


def measure_slopes() -> Slopes:
    """Measures all costs; takes about ten seconds."""
    sizes = measure_sizes()
    programs = memory_figures()
    message_us, overhead = _message_costs()
    hint = len(msgpack.packb({f"engine-{n}": n % 30 for n in range(100)})) / 100
    return Slopes(
        place_us=decision_time_us(13),
        place_us_1900=decision_time_us(1900),
        digest_us_per_ktoken=_digest_us(),
        queue_us=_queue_us(),
        message_us=message_us,
        record_overhead_bytes=overhead,
        program_bytes=programs["in_folder"]["owner_bytes_per_program"],
        turn_bytes=programs["in_folder"]["owner_bytes_per_turn"],
        program_copy_bytes=programs["in_folder"]["copy_bytes_per_program"],
        turn_copy_bytes=programs["in_folder"]["copy_bytes_per_turn"],
        text_bytes=programs["in_memory"]["owner_bytes_per_text_byte"],
        index_bytes=_index_bytes(),
        limiter_bytes=_bytes_per_unit(lambda n: Borrower(LimitSettings(), 0.0)),
        hint_bytes_per_target=round(hint, 1),
        config_bytes=sizes["config_bytes_5100_teams"],
        config_memory_bytes=_bytes_of(large_config),
        config_change_bytes=sizes["bytes_changed_by_one_team"],
        config_change_ms=round(sizes["change_load_ms"], 1),
        group_table_bytes=_group_table_bytes(),
    )


def _time_us(call: Callable[[], Any], units: float) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        call()
        best = min(best, time.process_time() - started)
    return round(1e6 * best / units, 2)


def _bytes_of(make: Callable[[], Any]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return size


def _bytes_per_unit(make: Callable[[int], Any]) -> float:
    return round(_bytes_of(lambda: [make(n) for n in range(UNITS)]) / UNITS)


def _digest_us() -> float:
    messages = [{"role": "user", "content": "word " * 8000} for _ in range(10)]
    tokens = 10 * 8000 * 5 / 4
    return _time_us(lambda: prefix_digests(messages), tokens / 1000)


def _queue_us() -> float:
    queue = FairQueue(QueueOrder())
    for number in range(1000):
        job = Job(f"old-{number}", f"p-{number}", f"team-{number % 40}", "model")
        queue.add(job, number * 13 % 997, number * 0.01)

    def run_all() -> None:
        for number in range(UNITS):
            job = Job(f"new-{number}", "p", f"team-{number % 40}", "model")
            queue.add(job, 500.0, 10.0)
            next(queue.ordered())
            queue.remove(job.request_id)

    return _time_us(run_all, UNITS)


def _message_costs() -> tuple[float, float]:
    catalogue = MessageCatalogue([CopyAppend])
    body = b"x" * 2048
    entry = GroupEntry("kolkata-1/17", "programs", "p" * 32, 1, 1, body)
    frame_bytes = 0

    def run_all() -> None:
        nonlocal frame_bytes
        reader = FrameReader()
        for number in range(UNITS):
            tag, packed = catalogue.pack(CopyAppend(entry))
            data = pack_frame(Frame(FrameKind.REQUEST, number, tag, packed))
            frame_bytes = len(data)
            (frame,) = reader.feed(data)
            catalogue.unpack(frame.tag, frame.fields)

    message_us = _time_us(run_all, UNITS)
    return message_us, frame_bytes - len(body)


def _index_bytes() -> float:
    def fill() -> PrefixIndex:
        index = PrefixIndex(UNITS * 2)
        for number in range(UNITS):
            index.add_block("engine-1", number << 40, 1.0)
        return index

    return round(_bytes_of(fill) / UNITS)


def _group_table_bytes() -> float:
    members = [Member(f"host-{n}", f"{n:012x}") for n in range(HOSTS_OF_A_DATA_CENTRE)]
    views = []
    for number in range(64):
        chosen = tuple(members[(number + step) % len(members)] for step in range(3))
        views.append(GroupView(1000 + number, chosen, True, chosen, 999))
    return len(pack_table(GroupTable("kolkata-1", 1, tuple(views))))
