import asyncio
import itertools

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from magnoliaroad.config.head import HEAD_KEY
from magnoliaroad.config.part_ref import PARTS_PREFIX
from magnoliaroad.config.proposal import propose
from magnoliaroad.config.publish import new_operation
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.operators import SheetApplier, SheetConflict, grant_key
from magnoliaroad.sheet import SheetError, read_sheet
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import StoreError, StoreRateLimited, StoreUnavailable
from tests.fakes import VirtualTimeLoop

scenarios("sheet.feature")


def sheet(rate, key_row=""):
    text = f"kind,name,rate,burst,team,digest\nteam,arcades,{rate},5,,\n{key_row}"
    return read_sheet(text.encode())


class FaultyStore(LocalStore):
    """Applies chosen writes but loses their answers, or refuses every n-th write."""

    def __init__(self, state, clock):
        super().__init__(state, clock)
        self.calls = itertools.count()
        self.after_put = None
        self.lost = set()
        self.refuse_every = 0

    async def put(self, key, value, expected=None, lease=None):
        if self.refuse_every and next(self.calls) % self.refuse_every == 0:
            raise StoreRateLimited("too many calls")
        revision = await super().put(key, value, expected, lease)
        if key in self.lost:
            self.lost.discard(key)
            if self.after_put:
                await self.after_put()
            raise StoreUnavailable("the answer was lost")
        return revision


class OperatorHarness:
    """Runs commands of several operators against one store, in virtual time."""

    def __init__(self):
        self.loop = VirtualTimeLoop()
        self.state = KvState()
        self.store = self.open_store()
        self.outcome = None

    def open_store(self):
        return FaultyStore(self.state, self.loop.time)

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    async def apply(self, rate, base=None, store=None, on_plan=None, key_row=""):
        publisher = Publisher(store or self.store, "planner")
        applier = SheetApplier(publisher, on_plan or (lambda plan, head: None))
        return await applier.apply(sheet(rate, key_row), new_operation(), base)

    def accepted(self):
        return self.run(Publisher(self.open_store()).read())


@pytest.fixture
def harness():
    harness = OperatorHarness()
    yield harness
    harness.loop.close()


def record_outcome(harness, coro):
    """Stores what ``coro`` returns or raises in ``harness.outcome``."""
    try:
        harness.outcome = harness.run(coro)
    except (SheetConflict, SheetError, StoreError) as exc:
        harness.outcome = exc


@given(parsers.parse("the sheet with rate {rate:d} was applied"))
def _applied(harness, rate):
    harness.run(harness.apply(rate))


@when(parsers.parse("the sheet with rate {rate:d} is applied"))
def _apply(harness, rate):
    record_outcome(harness, harness.apply(rate))


@when(parsers.parse("the sheet with rate {rate:d} is applied on base {base:d}"))
def _apply_on(harness, rate, base):
    record_outcome(harness, harness.apply(rate, base))


@then(parsers.parse("nothing was changed at revision {revision:d}"))
def _unchanged(harness, revision):
    assert not harness.outcome.changed
    assert harness.accepted().head.revision == revision


@then(parsers.parse('it is refused with "{row}"'))
def _refused(harness, row):
    assert isinstance(harness.outcome, SheetConflict)
    assert any(found.startswith(row) for found in harness.outcome.rows)


@then(parsers.parse("revision {revision:d} with rate {rate:d} is accepted"))
def _accepted(harness, revision, rate):
    accepted = harness.accepted()
    assert accepted.head.revision == revision
    assert accepted.config.teams["arcades"].rate == rate


@when("the sheets with rates 2 and 3 are applied at once")
def _race(harness):
    async def race():
        racers = [harness.apply(rate, store=harness.open_store()) for rate in (2, 3)]
        return await asyncio.gather(*racers, return_exceptions=True)

    harness.outcome = harness.run(race())


@then("one of them is revision 2 and the other is refused with its row")
def _one_won(harness):
    lost = [o for o in harness.outcome if isinstance(o, SheetConflict)]
    won = [o for o in harness.outcome if not isinstance(o, Exception)]
    assert [o.accepted.head.revision for o in won] == [2]
    assert len(lost) == 1
    assert lost[0].rows[0].startswith("row 2: ~ team arcades: rate")


@when("the sheet with rate 2 is applied while a key is granted")
def _apply_while(harness):
    def grant(plan, head):
        if head.revision == 1:
            coro = grant_key(Publisher(harness.open_store()), "till", "arcades")
            harness.granting = asyncio.ensure_future(coro)

    async def pausing_put(*args, **kwargs):
        await harness.granting
        return await FaultyStore.put(harness.store, *args, **kwargs)

    harness.store.put = pausing_put
    record_outcome(harness, harness.apply(2, on_plan=grant))
    del harness.store.put


@then("the granted key is still there")
def _still_there(harness):
    names = [g.key_id for g in harness.accepted().config.grants.values()]
    assert names == ["till"]


@when("4 keys are granted at once")
def _grant_four(harness):
    async def grant_all():
        publishers = [Publisher(harness.open_store()) for _ in range(4)]
        names = [f"till-{n}" for n in range(4)]
        pairs = zip(publishers, names, strict=True)
        return await asyncio.gather(*(grant_key(p, n, "arcades") for p, n in pairs))

    harness.outcome = harness.run(grant_all())


@then("all granted keys are accepted by revision 5")
def _all_granted_keys_accepted(harness):
    accepted = harness.accepted()
    assert accepted.head.revision == 5
    assert len(accepted.config.grants) == 4
    assert not any(
        granted.key in str(harness.state.entries) for granted in harness.outcome
    )


@when(parsers.parse("the sheet with rate 2 is applied and {failure}"))
def _apply_and(harness, failure):
    FAILURES[failure](harness)
    record_outcome(harness, harness.apply(2))


def _lose_each_answer_once(harness):
    harness.store.lost = {HEAD_KEY, *_part_keys(harness)}


def _lose_answer_to_another_write(harness):
    harness.store.lost = {HEAD_KEY}
    harness.store.after_put = lambda: harness.apply(3, store=harness.open_store())


def _take_store_down_for_3_s(harness):
    harness.store.faults = StoreFaults(down=True)
    harness.loop.call_later(3.0, setattr, harness.store, "faults", StoreFaults())


def _refuse_every_second_call(harness):
    harness.store.refuse_every = 2


FAILURES = {
    "the answer of each call is lost once": _lose_each_answer_once,
    "the write's answer is lost and another wins": _lose_answer_to_another_write,
    "the store is away for 3 seconds": _take_store_down_for_3_s,
    "the store refuses every second call": _refuse_every_second_call,
}


def _part_keys(harness):
    base = harness.accepted()
    config = sheet(2).config
    change = Publisher(harness.store)._build_change(base, config, "op")
    return [ref.key for ref, _ in propose(base, config, change).parts]


@then("it took effect once as revision 2")
def _once(harness):
    assert harness.outcome.changed
    assert harness.outcome.accepted.head.revision == 2
    changes = harness.accepted().head.changes
    assert [c.operation for c in changes].count(changes[1].operation) == 1
    assert "rate 1.0 -> 2.0" in changes[1].summary
    assert changes[1].author == "planner"


@when("the store stays away and the sheet with rate 2 is applied")
def _stays_away(harness):
    accepted = harness.accepted()

    async def write():
        harness.store.faults = StoreFaults(lose_answers=True)
        config = sheet(2).config
        return await Publisher(harness.store).write(accepted, config, "op")

    record_outcome(harness, write())


@then(parsers.parse('the error says "{verdict}"'))
def _error_has_verdict(harness, verdict):
    assert harness.outcome.verdict == verdict


@given(parsers.parse('a key named "{name}" was granted'))
def _granted(harness, name):
    harness.run(grant_key(Publisher(harness.store), name, "arcades"))


@when(parsers.parse('a sheet with another key named "{name}" is applied'))
def _apply_key(harness, name):
    row = f"key,{name},,,arcades,{'a' * 64}\n"
    record_outcome(harness, harness.apply(1, key_row=row))


@then("the fault is in row 3, column name")
def _fault(harness):
    found = [(fault.row, fault.column) for fault in harness.outcome.faults]
    assert found == [(3, "name")]


@given("an operator died after writing parts for rate 9")
def _died(harness):
    base = harness.accepted()
    publisher = Publisher(harness.store)
    config = sheet(9).config
    proposal = propose(base, config, publisher._build_change(base, config, "op"))
    harness.run(publisher._write_parts(proposal))


@when("the sheets with rates 2, 3 and 4 are applied in turn")
def _in_turn(harness):
    for rate in (2, 3, 4):
        harness.run(harness.apply(rate))


@when("unused parts are swept")
def _sweep(harness):
    assert harness.run(Publisher(harness.store).delete_unreferenced_parts()) == 1


@then("the store holds just the parts of the accepted revision")
def _only_accepted_parts(harness):
    there = {key for key in harness.state.entries if key.startswith(PARTS_PREFIX)}
    assert there == {ref.key for ref in harness.accepted().head.parts}
