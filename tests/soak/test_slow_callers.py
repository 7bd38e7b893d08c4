"""What the soak's slow callers find wrong with an answer."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.platform.target_standin import large_body
from tests.soak import slow_callers
from tests.soak.callers import EVENTS_PER_STREAM
from tests.soak.slow_callers import (
    ENDED_BEFORE,
    PIECE_PAUSE_S,
    Request,
    Sent,
    SlowCallers,
)
from tests.soak.slow_conn import Answer, ConnClosed

ID = {"magnoliaroad-request-id": "c-1"}
CLOSE = {"connection": "close"}
STREAM = "".join(
    f"id: {number}\ndata: word{number}\n\n"
    for number in range(1, EVENTS_PER_STREAM + 1)
).encode()
LARGE = large_body("/safe/large/20000", "c-1")


def check(path, answer, pause_s=0.0):
    """Returns the violations and the ids of the requests that were not run."""
    callers = SimpleNamespace(violations=[], reported_not_run=set())
    request = Request("c-1", path, b"", None, 2.0)
    slow = SlowCallers(None, callers, 1)
    slow._check(Sent(request, 100.0, 100.0 + pause_s, ""), answer)
    return callers.violations, callers.reported_not_run


@pytest.mark.parametrize(
    ("path", "body"),
    [("/safe/x", b"whole"), ("/safe/large/20000", LARGE), ("/plan/x", STREAM)],
)
def test_a_whole_answer_has_no_problem(path, body):
    assert check(path, Answer(200, ID, body)) == ([], set())
    assert check(path, Answer(502, ID, b"failed")) == ([], set())
    assert check(path, Answer(503, ID, b"failed")) == ([], {"c-1"})


@pytest.mark.parametrize(
    ("path", "headers", "body"),
    [
        ("/safe/x", {}, b"whole"),
        ("/safe/x", {"magnoliaroad-request-id": "c-2"}, b"whole"),
        ("/safe/x", ID, b"who"),
        ("/safe/large/20000", ID, LARGE[:-1]),
        ("/safe/large/20000", ID, large_body("/safe/large/20000", "c-2")),
        ("/plan/x", ID, STREAM[: len(STREAM) // 2]),
        ("/plan/x", ID, STREAM + b"HTTP/1.1 504 X\n\n"),
    ],
)
def test_a_wrong_answer_is_found(path, headers, body):
    violations, _ = check(path, Answer(200, headers, body))
    assert len(violations) == 1


@pytest.mark.parametrize(
    ("status", "headers", "pause_s", "allowed"),
    [
        (408, CLOSE, PIECE_PAUSE_S, True),
        (408, CLOSE, 0.0, False),
        (408, {}, PIECE_PAUSE_S, False),
        (503, CLOSE, PIECE_PAUSE_S, False),
        (408, CLOSE | {"magnoliaroad-request-id": "c-2"}, PIECE_PAUSE_S, False),
    ],
)
def test_only_the_refusal_of_half_a_head_may_lack_the_id(
    status, headers, pause_s, allowed
):
    violations, not_run = check("/safe/x", Answer(status, headers, b""), pause_s)
    assert (not violations, bool(not_run)) == (allowed, allowed)


class FirstUnanswered:
    """A connection on which the first answer does not end."""

    received = 1

    def __init__(self, is_closed):
        self.is_closed = is_closed

    async def read_answer(self, pace, followed=False):
        if self.is_closed:
            raise ConnClosed("end of data")
        await asyncio.sleep(1.0)


@pytest.mark.parametrize(
    ("is_closed", "ends"), [(True, ["end of data", ENDED_BEFORE]), (False, [""])]
)
async def test_a_request_behind_one_that_was_given_up_is_not_lost(
    monkeypatch, is_closed, ends
):
    """A soak blamed the host of a connection that the caller had closed itself."""
    monkeypatch.setattr(slow_callers, "PATIENCE_S", 0.0)
    slow = SlowCallers(None, None, 1)
    first, second = (
        Sent(Request(name, "/safe/x", b"", None, 0.01), 0.0, 0.0, "")
        for name in ("c-1", "c-2")
    )
    assert not await slow._read_both(FirstUnanswered(is_closed), first, second)
    assert [exchange.end for exchange in slow.unanswered] == ends
