import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from returns.pipeline import is_successful

from magnoliaroad.programs import Call, Outcome
from magnoliaroad.verdict import Verdict
from tests.programs.fleet import BUDGET, Fleet

scenarios("programs.feature")


@pytest.fixture
def seen():
    return {}


def other_host(fleet, *names):
    return next(name for name in fleet.hosts if name not in names)


def messages_to_request(fleet, turn_number):
    messages = fleet.program_state(other_host(fleet))["messages"]
    return messages[: 2 * turn_number - 1]


@given("three hosts in one data centre", target_fixture="fleet")
def _fleet(tmp_path):
    fleet = Fleet(folder=tmp_path)
    yield fleet
    fleet.loop.close()


@given(parsers.parse("a program with {count:d} turns"))
def _program(fleet, count):
    for number in range(1, count + 1):
        host = list(fleet.hosts)[number % 3]
        assert fleet.ask(host, f"q{number}", f"a{number}")[1]


@given("the store is down")
def _down(fleet):
    fleet.store_down(True)


@when("the store is up again")
def _up(fleet):
    fleet.store_down(False)
    fleet.settle()


@given(parsers.parse("the engine loses {count:d} orders"))
def _lose_orders(fleet, count):
    fleet.engine.requests_to_lose = count


@given("the engine holds memory of an unknown program")
def _unknown(fleet):
    fleet.engine.held.add("never-heard-of")


@when("two calls of a program come to two hosts at the same time")
def _two(fleet, seen):
    async def turn(host, text):
        call = Call("p", "t", [{"role": "user", "content": text}], new_only=True)
        turn = (await fleet.programs[host].begin(call)).unwrap()
        seen[text, "begun"] = fleet.loop.time()
        await asyncio.sleep(1.0)
        answer = {"role": "assistant", "content": f"to {text}"}
        outcome = Outcome(Verdict.RAN, answer, 10)
        assert await fleet.programs[host].finish(turn, outcome)
        seen[text, "messages"] = [m["content"] for m in turn.messages]

    async def both():
        await asyncio.gather(turn("a", "x"), turn("b", "y"))

    fleet.run(both())


@then("the second begins after the first has ended and sees its answer")
def _serial(seen):
    first, second = sorted("xy", key=lambda text: seen[text, "begun"])
    assert seen[second, "begun"] >= seen[first, "begun"] + 1.0
    assert seen[second, "messages"] == [first, f"to {first}", second]


@when(parsers.parse("turn 3 comes again at another host {how}"))
def _again(fleet, seen, how):
    messages = messages_to_request(fleet, 3)
    seen["used"] = fleet.program_state("a")["used"]
    if how == "with its number":
        seen["found"] = fleet.begin("a", messages[-1:], turn=3, new_only=True)
    else:
        number = 3 if how == "with both" else None
        seen["found"] = fleet.begin("a", messages, turn=number)


@then("it gets the answer of turn 3 and nothing runs")
def _answered(fleet, seen):
    turn = seen["found"].unwrap()
    assert (turn.number, turn.answer["content"]) == (3, "a3")
    state = fleet.program_state("a")
    assert (state["used"], state["running"]) == (seen["used"], False)


@when("a new request comes as turn 3")
def _taken(fleet, seen):
    seen["found"] = fleet.begin("a", [{"role": "user", "content": "x"}], turn=3)


@when("a whole history comes that differs in an answer")
def _differs(fleet, seen):
    messages = messages_to_request(fleet, 2)
    messages[1] = {"role": "assistant", "content": "other"}
    seen["found"] = fleet.begin("a", [*messages, {"role": "user", "content": "q"}])


@when("another team calls the program")
def _other_team(fleet, seen):
    call = Call("p", "other", [{"role": "user", "content": "q"}])
    seen["found"] = fleet.run(fleet.programs["a"].begin(call))


@then(parsers.parse('it is refused with "{code}" as "{verdict}"'))
def _refused(seen, code, verdict):
    refusal = seen["found"].failure()
    assert (refusal.code, refusal.verdict.value) == (code, verdict)


@then(parsers.parse("the program still has {count:d} turns"))
def _still(fleet, count):
    assert fleet.program_state("a")["turns"] == count


@then(parsers.parse('a call is refused with "{code}" as "{verdict}"'))
def _call_refused(fleet, seen, code, verdict):
    host = other_host(fleet)
    seen["found"] = fleet.begin(host, [{"role": "user", "content": "late"}])
    _refused(seen, code, verdict)


@when("the owner is lost")
def _lose_owner(fleet):
    fleet.crash(fleet.owner_host("p"))
    fleet.settle()


@when("a copy is lost")
def _lose_copy(fleet):
    fleet.crash(other_host(fleet, fleet.owner_host("p")))
    fleet.settle()


@when("the owner while it runs is lost")
def _lose_running(fleet):
    owner = fleet.owner_host("p")
    entry = other_host(fleet, owner)
    new = [{"role": "user", "content": "cut"}]
    turn = fleet.begin(entry, new, new_only=True).unwrap()
    fleet.crash(owner)
    fleet.settle()
    assert fleet.finish(entry, turn, "kept")


@then("a third turn at another host sees both answers")
def _third(fleet):
    turn, kept = fleet.ask(other_host(fleet), "q3", "a3")
    assert kept
    contents = [m["content"] for m in turn.messages]
    assert contents[:4] == ["q1", "a1", "q2", "a2"]
    assert contents[4:] in (["q3"], ["cut", "kept", "q3"])


@then("a second turn at another host sees the first answer")
def _second(fleet):
    turn, kept = fleet.ask(other_host(fleet), "q2", "a2")
    assert kept
    assert [m["content"] for m in turn.messages] == ["q1", "a1", "q2"]


@when("a host is lost in the middle of a turn that it runs")
def _lose_entry(fleet, seen):
    seen["used"] = fleet.program_state("a")["used"]
    entry = other_host(fleet, fleet.owner_host("p"))
    new = [{"role": "user", "content": "lost"}]
    seen["turn"] = fleet.begin(entry, new, new_only=True).unwrap()
    fleet.crash(entry)
    for _ in range(20):
        fleet.wait(1.0)


@then("the next call runs and the lost turn is charged in full")
def _charged(fleet, seen):
    used = fleet.program_state(other_host(fleet))["used"]
    assert used == seen["used"] + seen["turn"].reserved
    turn, kept = fleet.ask(other_host(fleet), "q2", "a2")
    assert kept
    assert "lost" not in [m["content"] for m in turn.messages]


@when("parent and children make calls until they are refused")
def _spend(fleet, seen):
    refused = set()
    for number in range(200):
        program = ("p", "p/x", "p/y")[number % 3]
        host = list(fleet.hosts)[number % 2]
        new = [{"role": "user", "content": "q" * 30}]
        found = fleet.begin(host, new, program, new_only=True, max_tokens=900)
        if not is_successful(found):
            seen.setdefault("found", found)
            refused.add(program)
            if len(refused) == 3:
                return
            continue
        turn = found.unwrap()
        worst = turn.reserved if number % 5 else 0
        fleet.finish(host, turn, "a" * 40, tokens=worst)


@then(parsers.parse('the refusal is "{code}" and the budget is not exceeded'))
def _not_exceeded(fleet, seen, code):
    assert seen["found"].failure().code == code
    state = fleet.program_state("a")
    assert state["left"] >= 0
    assert BUDGET // 2 < state["used"] <= BUDGET


@when("a program makes calls until it is refused")
def _loop(fleet, seen):
    for table in [b for s in fleet.programs.values() for b in s.owner.tables()]:
        table.cfg = table.cfg._replace(turn_limit=5)
    for _ in range(5):
        assert fleet.ask("a", "again", "same")[1]
    new = [{"role": "user", "content": "again"}]
    seen["found"] = fleet.begin("b", new, new_only=True)


@then(parsers.parse('the refusal is "{code}"'))
def _code(seen, code):
    assert seen["found"].failure().code == code


@when("a turn uses all that is left")
def _use_all(fleet):
    new = [{"role": "user", "content": "q"}]
    turn = fleet.begin("a", new, new_only=True, max_tokens=BUDGET).unwrap()
    assert fleet.finish("a", turn, "x", tokens=turn.reserved)


@when("the memory of all hosts is full")
def _full(fleet):
    for service in fleet.hosts.values():
        service._record_limit_bytes = 1


@then(parsers.parse('a call of a new program is refused with "{code}"'))
def _new_refused(fleet, code):
    found = fleet.begin("a", [{"role": "user", "content": "q"}], "new")
    assert found.failure().code == code


@when("the program ends by a call")
def _end(fleet):
    assert is_successful(fleet.end("a"))
    for _ in range(5):
        fleet.wait(0.5)


@when("the program ends by its idle limit")
def _idle(fleet):
    fleet.wait(121.0)
    fleet.settle(4)


@when("the program ends by a call and a loss")
def _end_and_loss(fleet):
    owner = fleet.owner_host("p")
    assert is_successful(fleet.end(other_host(fleet, owner)))
    fleet.crash(owner)
    for _ in range(8):
        fleet.settle(1)


@when("the engines are swept twice")
def _sweep(fleet):
    fleet.sweep_engines()
    assert fleet.engine.held
    fleet.sweep_engines()


@then("the engine holds nothing")
def _nothing(fleet):
    fleet.wait(1.0)
    fleet.wait(1.0)
    assert fleet.engine.held == set()
