"""When the soak's checks of resumed streams fire."""

import time
from collections import Counter
from types import SimpleNamespace

import pytest

from tests.soak.callers import EVENTS_PER_STREAM, StreamAttempt
from tests.soak.fleet import REJOIN_S, Fleet
from tests.soak.resumes import MIN_RESUMES, check_resumes, check_resumes_after_faults

EVENTS = [f"id: {n}\ndata: word{n}" for n in range(1, EVENTS_PER_STREAM + 1)]


def record_host(age_s, now):
    proc = SimpleNamespace(returncode=None)
    return SimpleNamespace(proc=proc, paused=False, started_at=now - age_s)


def target(version="v1"):
    return SimpleNamespace(service="lm", version=version, serving=True, script=["ok"])


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    fleet.targets = [target()]
    fleet.relay_hosts = ["relay-0", "relay-1", "relay-2"]
    return fleet


def test_a_stream_from_before_its_record_hosts_were_known_is_not_due(fleet):
    """Guards against "none of 20 attempts resumed a stream" in CI, seed 1."""
    now = time.monotonic()
    fleet.record_hosts = [record_host(REJOIN_S - 0.1, now)]
    assert not fleet.can_resume("v1", now)
    fleet.record_hosts.append(record_host(REJOIN_S + 0.1, now))
    assert fleet.can_resume("v1", now)
    assert not fleet.can_resume("v2", now)
    fleet.record_hosts[1].proc.returncode = -9
    assert not fleet.can_resume("v1", now)


@pytest.mark.parametrize(
    ("refused", "continued", "fires"),
    [(MIN_RESUMES, 0, True), (MIN_RESUMES, 1, False), (MIN_RESUMES - 1, 0, False)],
)
def test_hosts_that_resume_no_stream_are_found(refused, continued, fires):
    callers = SimpleNamespace(
        due_resumes=Counter({503: refused}), resumes_continued=continued
    )
    assert bool(check_resumes(callers)) is fires


class FakeCallers:
    """Answers the second attempt of each stream by ``resumed``."""

    def __init__(self, resumed):
        self.resumed = resumed
        self.relays = {}

    async def attempt_stream(self, request_id, relay, resumed="", events=()):
        if not resumed:
            self.relays[request_id] = relay
            return StreamAttempt(None, EVENTS[:-1])
        assert relay != self.relays[resumed]
        assert list(events) == EVENTS[:-1]
        return self.resumed


@pytest.mark.parametrize(
    ("resumed", "fires"),
    [
        (StreamAttempt(200, EVENTS[-1:]), False),
        (StreamAttempt(503, []), True),
        (StreamAttempt(None, []), True),
        (StreamAttempt(200, []), True),
    ],
)
async def test_each_stream_has_to_be_resumed_after_the_faults(fleet, resumed, fires):
    violations = await check_resumes_after_faults(fleet, FakeCallers(resumed))
    assert bool(violations) is fires
    assert fleet.targets[0].script == ["ok"]
