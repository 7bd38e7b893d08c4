"""Turns and their chains as records."""

import asyncio
import random
from typing import NamedTuple

import msgpack
import pytest

from magnoliaroad.decoding import unpack
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import MEMORY_FULL, NO_TURN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.relay.turn_ledger import TurnLedger
from magnoliaroad.store.interface import MAX_KEY_BYTES
from magnoliaroad.store.leases import MAX_RETENTION_S

RETENTION_S = 60.0


class OlderTurn(NamedTuple):
    """A turn's record as older builds read it."""

    team: str
    chain: tuple[str, ...]
    chain_started_at: float
    text: bytes
    regions: tuple[str, ...] = ()


class TimedRecords:
    """Records in memory that expire after the time for which they are stored."""

    def __init__(self):
        self.now = 1000.0
        self.held = {}

    def __call__(self):
        return self.now

    async def keep(self, key, value, keep_s, in_store_only=False):
        self.held[key] = (value, self.now + keep_s)

    async def fetch(self, key, in_store_only=False):
        value, until = self.held.get(key, (None, 0.0))
        return value if until > self.now else None


@pytest.fixture
def records():
    return TimedRecords()


class SlowRecords(TimedRecords):
    """Counts the bytes of the large records that are written at the same time."""

    def __init__(self):
        super().__init__()
        self.writing = self.most_writing = 0

    async def keep(self, key, value, keep_s, in_store_only=False):
        size = len(value) if len(value) > TurnSettings().small_bytes else 0
        self.writing += size
        self.most_writing = max(self.most_writing, self.writing)
        await asyncio.sleep(0.001)
        self.writing -= size
        await super().keep(key, value, keep_s)


def ledger(records, **changes):
    return TurnLedger(records, TurnSettings(**changes), records)


async def chain(records, turns, gap_s, **changes):
    """Writes a chain of turns, each on another host; returns its text."""
    text, previous = b"", None
    for number in range(turns):
        host = ledger(records, **changes)
        if number:
            previous = await host.load(f"t-{number - 1}", "team")
        part = f"<{number}>".encode() * 100
        await host.save(f"t-{number}", "team", part, previous, RETENTION_S)
        text += part
        records.now += gap_s
    return text


@pytest.mark.parametrize("gap_s", [0.0, 5.0, 25.0, 59.0])
async def test_a_long_chain_is_complete(records, gap_s):
    text = await chain(records, 20, gap_s)
    records.now += RETENTION_S - gap_s - 0.1
    loaded = await ledger(records).load("t-19", "team")
    assert loaded.text == text


@pytest.mark.parametrize("first", range(0, 12, 3))
async def test_every_turn_is_found_until_its_retention_ends(records, first):
    await chain(records, 12, 13.0)
    records.now = 1000.0 + first * 13.0 + RETENTION_S - 0.1
    await ledger(records).load(f"t-{first}", "team")


async def test_a_record_holds_its_own_text_only(records):
    await chain(records, 20, 0.1)
    assert max(len(value) for value, _ in records.held.values()) < 1000


async def test_a_rewritten_chain_is_split_into_parts(records):
    text = await chain(records, 3, 58.0, part_bytes=250)
    assert max(len(value) for value, _ in records.held.values()) < 450
    loaded = await ledger(records).load("t-2", "team")
    assert loaded.text == text


@pytest.mark.parametrize(
    "retentions",
    [
        (5.0, 60.0, 60.0),
        (5.0, 60.0, 5.0, 60.0),
        (60.0, 5.0, 5.0),
        (60.0, 5.0, 60.0, 120.0),
        (5.0, 10.0, 20.0, 40.0, 80.0, 160.0),
        (300.0, 20.0, 570.0, 60.0),
    ],
    ids=str,
)
@pytest.mark.parametrize("part", [0.1, 0.7, 0.99])
async def test_a_chain_outlasts_the_retention_of_its_last_turn(
    records, retentions, part
):
    """LOST: turns of a longer retention were denied as their chains had ended."""
    previous, text = None, b""
    for number, retention_s in enumerate(retentions):
        if number:
            previous = await ledger(records).load(f"t-{number - 1}", "team")
        said = f"<{number}>".encode()
        await ledger(records).save(f"t-{number}", "team", said, previous, retention_s)
        text += said
        records.now += part * retention_s
    records.now += (1 - part) * retentions[-1] - 0.1
    loaded = await ledger(records).load(f"t-{len(retentions) - 1}", "team")
    assert loaded.text == text


@pytest.mark.parametrize("seed", range(30))
async def test_every_branch_is_complete_whatever_its_routes_retain(records, seed):
    rng = random.Random(seed)
    texts, ends = {}, {}
    for number in range(120):
        named = [name for name, end in ends.items() if end > records.now]
        name, text, previous = f"t-{number}", f"<{number}>".encode(), None
        if named and rng.random() < 0.9:
            earlier = rng.choice(named[-6:])
            previous = await ledger(records).load(earlier, "team")
            assert previous.text == texts[earlier]
        retention_s = rng.choice((5.0, 20.0, 60.0, 250.0, 400.0))
        await ledger(records).save(name, "team", text, previous, retention_s)
        texts[name] = (previous.text if previous else b"") + text
        ends[name] = records.now + retention_s
        records.now += rng.choice((0.1, 1.0, 4.0, 15.0, 50.0))


async def test_a_chain_whose_end_is_not_stated_is_written_again(records):
    """Records of older builds do not say how long their chains are kept."""
    older = msgpack.packb(("team", (), records.now, b"said;"))
    await records.keep("turns/t-0", older, 15.0)
    previous = await ledger(records).load("t-0", "team")
    await ledger(records).save("t-1", "team", b"more;", previous, RETENTION_S)
    records.now += RETENTION_S - 0.1
    assert (await ledger(records).load("t-1", "team")).text == b"said;more;"


@pytest.mark.parametrize("regions", [(), ("bengal",)])
async def test_older_builds_take_a_chain_for_one_that_began_long_ago(records, regions):
    """They then write it again, and need not know how long it is kept."""
    await ledger(records).save(
        "t-0", "team", b"said;", None, RETENTION_S, regions=regions
    )
    value, _ = records.held["turns/t-0"]
    older = unpack(value, OlderTurn)
    assert (older.team, older.text, older.regions) == ("team", b"said;", regions)
    assert records.now - older.chain_started_at > MAX_RETENTION_S


async def test_a_turn_of_another_team_does_not_exist(records):
    await chain(records, 2, 0.1)
    with pytest.raises(Refused) as refused:
        await ledger(records).load("t-1", "other")
    assert refused.value.refusal is NO_TURN


async def test_a_turn_expires_some_time_after_its_retention(records):
    await chain(records, 1, 0.0)
    records.now += 3 * RETENTION_S
    with pytest.raises(Refused):
        await ledger(records).load("t-0", "team")


@pytest.mark.parametrize("turns", [1, 3])
async def test_a_large_turn_is_split_into_records(records, turns):
    """Guards against records larger than a value of the store (LOST)."""
    text, previous = b"", None
    for number in range(turns):
        part = bytes([65 + number]) * 1_200_000
        await ledger(records).save(f"t-{number}", "team", part, previous, RETENTION_S)
        previous = await ledger(records).load(f"t-{number}", "team")
        text += part
        records.now += 58.0
    assert previous.text == text
    most = TurnSettings().part_bytes
    assert max(len(value) for value, _ in records.held.values()) < most + 1000


@pytest.mark.parametrize("size", [195, 198, 4000])
async def test_long_ids_make_no_key_that_the_store_refuses(records, size):
    turn_id = "ß" * (size // 2)
    await ledger(records).save(turn_id, "team", b"x" * 700_000, None, RETENTION_S)
    assert max(len(key.encode()) for key in records.held) <= MAX_KEY_BYTES
    loaded = await ledger(records).load(turn_id, "team")
    assert loaded.text == b"x" * 700_000
    with pytest.raises(Refused):
        await ledger(records).load(turn_id + "ß", "team")


@pytest.mark.parametrize("retention_s", [100.0, 143.0, 200.0, 400.0, 570.0])
async def test_a_chain_of_a_long_retention_is_complete_when_its_leases_end(
    records, retention_s
):
    previous, text = None, b""
    for number in range(8):
        host = ledger(records)
        if number:
            previous = await host.load(f"t-{number - 1}", "team")
        await host.save(f"t-{number}", "team", b"part", previous, retention_s)
        text += b"part"
        ends = [until - records.now for _, until in records.held.values()]
        assert max(ends) <= MAX_RETENTION_S
        records.now += 0.9 * retention_s
    assert (await ledger(records).load("t-7", "team")).text == text


async def test_large_turns_are_written_a_few_records_at_a_time():
    """Guards against hosts over their memory while the store is away (FAULT)."""
    records = SlowRecords()
    host = ledger(records)
    text = b"x" * 3_000_000
    await asyncio.gather(
        *(host.save(f"t-{n}", "team", text, None, RETENTION_S) for n in range(5)),
        host.save("small", "team", b"y", None, RETENTION_S),
    )
    assert records.most_writing <= 1.01 * host.cfg.writing_bytes
    for n in range(5):
        assert (await ledger(records).load(f"t-{n}", "team")).text == text


class CountingRecords(TimedRecords):
    """Takes a while for each read, and counts those that are under way."""

    def __init__(self):
        super().__init__()
        self.reads, self.reading, self.most_reading = [], 0, 0

    async def fetch(self, key, in_store_only=False):
        self.reads.append(key)
        self.reading += 1
        self.most_reading = max(self.most_reading, self.reading)
        await asyncio.sleep(0.001)
        self.reading -= 1
        return await super().fetch(key, in_store_only)


async def test_turns_that_continue_the_same_one_read_its_chain_once():
    """Guards against hosts over their memory by branches of a long turn (FAULT)."""
    records = CountingRecords()
    await ledger(records).save("t", "team", b"x" * 4_000_000, None, RETENTION_S)
    host = ledger(records)
    loaded = await asyncio.gather(*(host.load("t", "team") for _ in range(20)))
    assert {len(turn.text) for turn in loaded} == {4_000_000}
    assert len(records.reads) == len(set(records.reads)) == len(records.held)


async def test_a_long_text_is_counted_before_it_is_read():
    """Guards against what many turns read before any of it was counted (FAULT)."""
    records = CountingRecords()
    await ledger(records).save("t", "team", b"x" * 4_000_000, None, RETENTION_S)
    held = []

    def hold(size):
        held.append(size)
        if sum(held) > 4_000_000:
            raise Refused(MEMORY_FULL)

    with pytest.raises(Refused) as refused:
        await ledger(records).load("t", "team", hold)
    assert refused.value.refusal is MEMORY_FULL
    assert len(records.reads) == 1
    held.clear()
    loaded = await ledger(records).load("t", "team", lambda size: held.append(size))
    assert 2 * len(loaded.text) <= sum(held) <= 2.2 * len(loaded.text)


@pytest.mark.parametrize("text_bytes", [10, 250_000, 350_000, 1_300_000])
async def test_a_chain_that_was_written_again_counts_as_what_it_holds(
    records, text_bytes
):
    """Guards against turns that are refused for memory which they don't need."""
    text = b"x" * text_bytes
    await ledger(records).save("t-0", "team", text, None, 5.0)
    previous = await ledger(records).load("t-0", "team")
    await ledger(records).save("t-1", "team", b"more", previous, RETENTION_S)
    held = []
    loaded = await ledger(records).load("t-1", "team", held.append)
    assert loaded.text == text + b"more"
    assert loaded.turn.chain[0] == "t-1/0"
    assert sum(held) <= 2 * len(loaded.text) + 100


async def test_a_chain_that_holds_too_much_is_refused_before_it_is_read(records):
    await chain(records, 40, 0.0)
    reads = []
    fetch = records.fetch

    async def count(key, in_store_only=False):
        reads.append(key)
        return await fetch(key)

    records.fetch = count
    held = []

    def hold(size):
        held.append(size)
        if sum(held) > 1000:
            raise Refused(MEMORY_FULL)

    host = ledger(records)
    with pytest.raises(Refused) as refused:
        await host.load("t-39", "team", hold)
    assert refused.value.refusal is MEMORY_FULL
    assert len(reads) <= 1 + host.cfg.chain_reads
