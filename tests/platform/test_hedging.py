"""Second attempts at real targets, where the settings ask for them."""

import asyncio

import pytest
from returns.result import Failure, Success

from magnoliaroad.hedging import hedged_send
from magnoliaroad.hedging.race import RaceResult
from magnoliaroad.hedging.settings import HedgingSettings
from magnoliaroad.quarantine.refusals import suspect_waits
from magnoliaroad.targets import RequestEnd
from tests.platform.deployment import UNLIMITED, Deployment
from tests.platform.target_standin import TargetStandin

pytestmark = pytest.mark.usefixtures("unlogged")


class Hedged(Deployment):
    def __init__(self, *args, extra_share=1.0):
        super().__init__(*args)
        self.hedging = HedgingSettings(extra_share, max_per_s=1000.0)

    def settings(self, name, **listen):
        return super().settings(name, **listen)._replace(hedging=self.hedging)


async def call(deployment, path="/safe/x", method="GET", body=b""):
    status, _, _ = await deployment.call(path, method, body, Authorization=UNLIMITED)
    return status


async def learn(deployment, count=40):
    for _ in range(count):
        assert await call(deployment) == 200


@pytest.mark.parametrize(("extra_share", "attempts"), [(1.0, 2), (0.0, 1)])
async def test_a_request_at_a_target_that_is_slow_is_sent_once_more(
    tmp_path, extra_share, attempts
):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(2)]
    async with Hedged(tmp_path, *targets, extra_share=extra_share) as deployment:
        await learn(deployment)
        for target in targets:
            target.runs.clear()
            target.script = ["slow"]
        assert await call(deployment) == 200
        assert sum(len(target.runs) for target in targets) == attempts
        await deployment.until(
            lambda: (
                not any(t.in_flight for t in targets)
                and not any(deployment.relays[0].table.in_flight.values())
            )
        )


async def test_a_request_that_may_run_once_is_sent_once(tmp_path):
    """Guards against a payment that runs twice."""
    targets = [TargetStandin(f"i-{n}", "app") for n in range(2)]
    async with Hedged(tmp_path, *targets) as deployment:
        await learn(deployment)
        for target in targets:
            target.runs.clear()
            target.script = ["slow"]
        answers = await asyncio.gather(
            *(call(deployment, "/pay/x", "POST", b"x") for _ in range(8))
        )
        assert answers == [200] * 8
        assert sum(len(target.runs) for target in targets) == 8


class SlowTarget(TargetStandin):
    """Answers by ``then``, after 0.3 s."""

    def __init__(self, name):
        super().__init__(name, "app")
        self.then = "ok"

    async def _write_scripted_answer(
        self, act, reader, writer, request_id, path, headers
    ):
        if act != "later":
            return await super()._write_scripted_answer(
                act, reader, writer, request_id, path, headers
            )
        await asyncio.sleep(0.3)
        if self.then == "full":
            mark = "Magnoliaroad-Not-Executed: 1"
            self._write_answer(writer, 503, request_id, b"", mark)
            return True
        return await super()._write_scripted_answer(
            self.then, reader, writer, request_id, path, headers
        )


def spy(monkeypatch, obj, name):
    """Returns the arguments of the calls of a method from now on."""
    calls, method = [], getattr(obj, name)

    def note(*args):
        calls.append(args)
        return method(*args)

    monkeypatch.setattr(obj, name, note)
    return calls


async def first_of(targets):
    """Returns the target that got the first attempt, and the other one."""
    while not any(target.runs for target in targets):
        await asyncio.sleep(0.005)
    return sorted(targets, key=lambda target: not target.runs)


async def hedge(deployment, targets, then, second):
    """Lets the first attempt end by ``then`` while the second follows ``second``.

    Returns:
        The status, and the names of the two targets.
    """
    for target in targets:
        target.runs.clear()
        target.script, target.then = ["later"], then
    task = asyncio.create_task(call(deployment))
    first, other = await first_of(targets)
    other.script = [second]
    return await task, first.name, other.name


async def no_counts(deployment):
    table = deployment.relays[0].table
    await deployment.until(lambda: not any(table.in_flight.values()))
    assert not deployment.relays[0].quarantine._in_flight


async def test_a_refusal_after_a_second_attempt_does_not_claim_that_nothing_ran(
    tmp_path,
):
    """Guards against a first attempt that was not run hiding a second that may be."""
    targets = [SlowTarget(f"i-{n}") for n in range(2)]
    async with Hedged(tmp_path, *targets) as deployment:
        await learn(deployment)
        status, *_ = await hedge(deployment, targets, "full", "reset")
        assert status == 502
        await no_counts(deployment)


async def test_a_second_attempt_that_was_refused_leaves_no_trace(tmp_path, monkeypatch):
    """Guards against crash evidence and attempts of requests that did not run."""
    targets = [SlowTarget(f"i-{n}") for n in range(2)]
    async with Hedged(tmp_path, *targets) as deployment:
        await learn(deployment)
        ends = spy(monkeypatch, deployment.relays[0].quarantine, "request_ended")
        status, first, second = await hedge(deployment, targets, "ok", "full")
        assert status == 200
        by_target = {args[0]: args[2] for args in ends}
        assert by_target[second] is RequestEnd.UNKNOWN
        assert by_target[first] is RequestEnd.COMPLETED
        await no_counts(deployment)


async def test_a_first_attempt_that_was_lost_counts_against_its_target(
    tmp_path, monkeypatch
):
    """Guards against crashes that are not seen since the second attempt answers."""
    targets = [SlowTarget(f"i-{n}") for n in range(2)]
    async with Hedged(tmp_path, *targets) as deployment:
        await learn(deployment)
        relay = deployment.relays[0]
        ends = spy(monkeypatch, relay.quarantine, "request_ended")
        failures = spy(monkeypatch, relay.table, "record_failure")
        status, first, _ = await hedge(deployment, targets, "reset", "slow")
        assert status == 200
        assert {args[0]: args[2] for args in ends}[first] is RequestEnd.LOST
        assert [args[0] for args in failures] == [first]
        await no_counts(deployment)


async def test_an_answer_that_comes_at_the_same_moment_is_not_counted_on(
    tmp_path, monkeypatch
):
    """Guards against a target that seems busy for ever."""

    async def race_of_equals(first, age_s, start_second, discard):
        task = asyncio.ensure_future(first)
        await asyncio.sleep(age_s)
        second = start_second()
        if second is None:
            return RaceResult(await task, False, False)
        discard(await second)
        return RaceResult(await task, False, True)

    targets = [SlowTarget(f"i-{n}") for n in range(2)]
    async with Hedged(tmp_path, *targets) as deployment:
        await learn(deployment)
        monkeypatch.setattr(hedged_send, "race", race_of_equals)
        status, *_ = await hedge(deployment, targets, "ok", "ok")
        assert status == 200
        assert all(target.runs for target in targets)
        await no_counts(deployment)


async def test_a_request_that_has_become_suspect_gets_no_second_attempt(
    tmp_path, monkeypatch
):
    targets = [SlowTarget(f"i-{n}") for n in range(2)]
    async with Hedged(tmp_path, *targets) as deployment:
        await learn(deployment)
        quarantine = deployment.relays[0].quarantine
        checks = iter([Success(None)] * 3)
        suspect = Failure(suspect_waits("f"))
        monkeypatch.setattr(quarantine, "check", lambda _: next(checks, suspect))
        for target in targets:
            target.runs.clear()
            target.script = ["slow"]
        await call(deployment)
        assert sum(len(target.runs) for target in targets) == 1
