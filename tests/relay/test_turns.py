"""Turns and their chains as records."""

import pytest

from magnoliaroad.refusal import Refused
from magnoliaroad.relay.refusals import NO_TURN
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.relay.turn_ledger import TurnLedger

RETENTION_S = 60.0


class TimedRecords:
    """Records in memory that expire after the time for which they are stored."""

    def __init__(self):
        self.now = 1000.0
        self.held = {}

    def __call__(self):
        return self.now

    async def keep(self, key, value, keep_s):
        self.held[key] = (value, self.now + keep_s)

    async def fetch(self, key):
        value, until = self.held.get(key, (None, 0.0))
        return value if until > self.now else None


@pytest.fixture
def records():
    return TimedRecords()


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
