"""Slopes of the relay's parts on one core: ``python -m bench relay``."""

import pathlib
import tempfile
import time
from collections.abc import Callable

import msgpack

from magnoliaroad.peers import MessageCatalogue
from magnoliaroad.records.journal import Journal, JournalRecord
from magnoliaroad.relay.budget import BudgetRecord, unpack_budget
from magnoliaroad.relay.event_scanner import EventScanner
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.placement import choose_by_session
from magnoliaroad.relay.plan import RelayTeam
from magnoliaroad.relay.quota import TeamCount, TeamTokenBuckets
from magnoliaroad.relay.settings import QuotaSettings
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_table import TargetTable

ROUNDS = 2000
ACTIVE_TEAMS = 300


def main(args: list[str]) -> None:
    """Prints each slope in microseconds, the least of five trials."""
    for name, work in (
        ("quota: admit", _admit()),
        (f"heartbeat: pack and read, {ACTIVE_TEAMS} teams", _heartbeat(ACTIVE_TEAMS)),
        ("heartbeat: pack and read, 8 teams", _heartbeat(8)),
        ("placement: by session, 5 targets", _place(5)),
        ("placement: by session, 1,900 targets", _place(1900)),
        ("budget: claim, pack and read", _budget()),
        ("stream: scan an event", _scan()),
        ("journal: append and sync 25 kB", _journal()),
    ):
        print(f"{name:45} {_least_us(work):10.1f} us")


def _least_us(work: Callable[[], None]) -> float:
    trials = []
    rounds = ROUNDS
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(rounds):
            work()
        trials.append((time.perf_counter() - began) / rounds * 1e6)
        rounds = min(ROUNDS, max(10, int(2e5 / trials[-1])))
    return min(trials)


def _admit() -> Callable[[], None]:
    buckets = TeamTokenBuckets(QuotaSettings(), 0.0)
    team = RelayTeam("team", 1e6, 1e6)
    clock = iter(range(10**9))
    return lambda: buckets.admit(next(clock) * 1e-3, team)


def _heartbeat(teams: int) -> Callable[[], None]:
    catalogue = MessageCatalogue([Heartbeat])
    counts = {f"team-{n}": TeamCount(n, n) for n in range(teams)}
    held = {f"target-{n}": 3 for n in range(8)}
    heartbeat = Heartbeat(
        host="h",
        boot="b",
        data_centre="dc",
        address="1",
        port=1,
        age_s=1.0,
        draining=False,
        store_lost=False,
        slow=False,
        targets_revision=1,
        plan_version=1,
        plan_key="op/config",
        plan_bytes=10_000,
        admitted=counts,
        has_all_teams=True,
        in_flight=held,
        cooldowns={},
    )

    def work() -> None:
        data = msgpack.packb(catalogue.pack(heartbeat))
        catalogue.unpack(*msgpack.unpackb(data))

    return work


def _place(count: int) -> Callable[[], None]:
    table = TargetTable()
    for number in range(count):
        name = f"target-{number}"
        ready = TargetState.READY
        table.set(RelayTarget(name, "lm", "10.0.0.1:80", "dc", 8, ready))
    clock = iter(range(10**9))
    return lambda: choose_by_session(
        table, table.usable("lm", 0.0), str(next(clock)), "dc-1"
    )


def _budget() -> Callable[[], None]:
    record = BudgetRecord(8000, {"host-1#0123456789ab": 4000})
    return lambda: unpack_budget(record.with_claim("host-2#0123456789ab", 100).pack())


def _scan() -> Callable[[], None]:
    scanner = EventScanner()
    event = b"id: 12\ndata: " + b"x" * 90 + b"\n\n"
    return lambda: scanner.feed(event)


def _journal() -> Callable[[], None]:
    folder = tempfile.mkdtemp(prefix="journal-")
    journal = Journal(pathlib.Path(folder), 2_000_000)
    clock = iter(range(10**9))

    def work() -> None:
        key = f"turns/{next(clock)}"
        journal.append([JournalRecord(key, b"x" * 25_000, 65.0)])
        journal.mark_stored(key)

    return work
