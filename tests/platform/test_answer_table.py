"""All kinds of route by framing, end and place of the end of an answer."""

import asyncio
import enum
import itertools
from typing import NamedTuple

import pytest

from tests.platform.deployment import UNLIMITED, Deployment
from tests.platform.raw_caller import exchange
from tests.platform.raw_target import (
    CHUNKED,
    EVENTS,
    OWN_ID,
    SEAL,
    CaseTarget,
    End,
    head,
)

LIMIT_MS = "1000"
# Cases at a time, so that the event loop of host and targets is on time beside load.
MAX_CASES = 24
WHOLE_EVENTS = (b"id: 1\ndata: one\n\n", b"id: 2\ndata: two\n\n")
HALF_EVENT = b"id: 2\nda"


class Kind(enum.StrEnum):
    """Kind of route; the value is its path."""

    SAFE = "/safe/"
    UNSAFE = "/pay/"
    RESUMABLE = "/plan/"
    TURN = "/stream/"
    STREAMING = "/talk/"

    @property
    def streams(self):
        return self not in (Kind.SAFE, Kind.UNSAFE)


class Framing(enum.Enum):
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Place(enum.Enum):
    """Where an answer ends; the value is the part of its body that was written."""

    BEFORE_HEAD = "before the head"
    IN_HEAD = "in the head"
    AFTER_HEAD = ()
    INSIDE_EVENT = (WHOLE_EVENTS[0], HALF_EVENT)
    BETWEEN_EVENTS = WHOLE_EVENTS[:1]
    AFTER_LAST = WHOLE_EVENTS

    @property
    def has_head(self):
        return self not in (Place.BEFORE_HEAD, Place.IN_HEAD)

    @property
    def pieces(self):
        return self.value if self.has_head else ()


class Manner(enum.Enum):
    """How an answer ends: as its framing says, or not."""

    WHOLE = "whole"
    CUT = End.CLOSE
    RESET = End.RESET
    SILENT = End.BY_HOST


class Case(NamedTuple):
    kind: Kind
    framing: Framing
    manner: Manner
    place: Place


class Outcome(NamedTuple):
    """What a caller gets.

    Attributes:
        status: HTTP status.
        body: Body from the target; ``None`` if the answer is this host's.
        whole: Whether the answer is framed as whole.
        runs: Targets that ran the request.
        kept: Whether a turn can follow; ``None`` for other routes.
    """

    status: int
    body: bytes | None
    whole: bool
    runs: int
    kept: bool | None


def cases():
    for case in itertools.starmap(
        Case, itertools.product(Kind, Framing, Manner, Place)
    ):
        if case.manner is not Manner.WHOLE or case.place.has_head:
            yield case


def has_ended(case):
    """Returns whether the answer has ended where its framing says."""
    if not case.place.has_head:
        return False
    if case.manner is Manner.WHOLE:
        return True
    if case.framing is Framing.LENGTH:
        return case.place is Place.AFTER_LAST
    return case.framing is Framing.CLOSE and case.manner is Manner.CUT


def ends_idle_connection(case):
    """Returns whether the end meets a connection that is kept after a whole answer."""
    ends = case.manner in (Manner.CUT, Manner.RESET)
    return case.framing is Framing.LENGTH and has_ended(case) and ends


def expected(case):
    """Returns the outcome by the rules that callers rely on."""
    kept = False if case.kind is Kind.TURN else None
    body = b"".join(case.place.pieces)
    in_event = case.kind.streams and case.place is Place.INSIDE_EVENT
    if has_ended(case) and not in_event:
        return Outcome(200, body, True, 1, True if case.kind is Kind.TURN else None)
    if case.kind.streams and case.place.has_head:
        return Outcome(200, body, False, 1, kept)
    status = 504 if case.manner is Manner.SILENT else 502
    # A body that stays silent is not asked for again: its target may still send it.
    again = case.manner is not Manner.SILENT or not case.place.has_head
    runs = 2 if case.kind is Kind.SAFE and again else 1
    return Outcome(status, None, True, runs, kept)


def written(case):
    """Returns what a target writes, as an entry of its script."""
    pieces = case.place.pieces
    end = () if case.manner is Manner.WHOLE else (case.manner.value,)
    if case.manner is Manner.SILENT and has_ended(case):
        end = ()
    total = pieces if case.manner is Manner.WHOLE else WHOLE_EVENTS
    size = len(b"".join(total))
    lines = {
        Framing.LENGTH: [f"Content-Length: {size}"],
        Framing.CHUNKS: [CHUNKED],
        Framing.CLOSE: [],
    }[case.framing]
    text = head(SEAL, OWN_ID, EVENTS, *lines)
    if case.place is Place.BEFORE_HEAD:
        return end
    if case.place is Place.IN_HEAD:
        return (text[: len(text) // 2], *end)
    if case.framing is Framing.CHUNKS:
        pieces = tuple(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        if case.manner is Manner.WHOLE:
            end = (b"0\r\n\r\n",)
    elif case.framing is Framing.CLOSE and case.manner is Manner.WHOLE:
        end = (End.CLOSE,)
    return (text, *pieces, *end)


# Its connection is not kept.
NEXT_TURN = Case(Kind.TURN, Framing.CLOSE, Manner.WHOLE, Place.AFTER_LAST)


class AnswerTable:
    """A host that is called with the cases, and two targets of each service."""

    def __init__(self, tmp_path):
        self.answers = {}
        self.targets = [
            CaseTarget(f"i-{service}-{number}", service, self.answers)
            for number in (1, 2)
            for service in ("app", "lm")
        ]
        self.deployment = Deployment(tmp_path, *self.targets)
        self._numbers = itertools.count(1)
        self._turns = asyncio.Semaphore(MAX_CASES)

    async def outcome(self, case):
        """Returns the outcome of a case."""
        async with self._turns:
            return await self._outcome(case)

    async def _outcome(self, case):
        number = next(self._numbers)
        path = f"{case.kind.value}{number}"
        self.answers[path] = [written(case)]
        silent = case.manner is Manner.SILENT
        answer = await exchange(
            self.deployment,
            path,
            body=path.encode(),
            Magnoliaroad_Deadline_Ms=LIMIT_MS if silent else "10000",
            Authorization=UNLIMITED,
            Magnoliaroad_Request_Id=f"case-{number}",
            Magnoliaroad_Program_Id=f"p-{number}",
        )
        if ends_idle_connection(case):
            await self.deployment.until(lambda: not self._idle_connections())
        runs = sum(run[1] == path for target in self.targets for run in target.runs)
        body = answer.body if answer.status == 200 else None
        kept = await self._is_kept(number) if case.kind is Kind.TURN else None
        return Outcome(answer.status, body, answer.whole, runs, kept)

    async def _is_kept(self, number):
        path = f"/stream/next-{number}"
        self.answers[path] = [written(NEXT_TURN)]
        answer = await exchange(
            self.deployment,
            path,
            Authorization=UNLIMITED,
            Magnoliaroad_Previous_Turn=f"case-{number}",
            Magnoliaroad_Program_Id=f"p-{number}",
        )
        assert answer.status in (200, 404, 503)
        return answer.status == 200

    def _idle_connections(self):
        connector = self.deployment.relays[0].client._session.connector
        pooled = itertools.chain.from_iterable(connector._conns.values())
        return [conn for conn, _ in pooled if conn.is_connected()]


def differing(seen):
    """Returns what callers got and should have got, where these differ."""
    return {
        case: (outcome, expected(case))
        for case, outcome in seen.items()
        if outcome != expected(case)
    }


@pytest.mark.usefixtures("unlogged", "uncooled")
async def test_each_answer_is_whole_or_visibly_not(tmp_path):
    table = AnswerTable(tmp_path)
    named = [case for case in cases() if not ends_idle_connection(case)]
    async with table.deployment as deployment:
        await deployment.start_records()
        seen = await asyncio.gather(*(table.outcome(case) for case in named))
    assert differing(dict(zip(named, seen, strict=True))) == {}


@pytest.mark.usefixtures("unlogged", "uncooled")
async def test_the_end_of_a_connection_after_a_whole_answer_takes_nothing_back(
    tmp_path,
):
    table = AnswerTable(tmp_path)
    named = [case for case in cases() if ends_idle_connection(case)]
    async with table.deployment as deployment:
        await deployment.start_records()
        seen = {case: await table.outcome(case) for case in named}
    assert differing(seen) == {}


def test_only_safe_requests_run_twice_and_no_stream_that_has_begun():
    """Checks the rules of the table themselves."""
    for case in cases():
        outcome = expected(case)
        assert outcome.runs == 1 or case.kind is Kind.SAFE
        assert outcome.status == 200 or outcome.whole
        assert outcome.status == 200 or outcome.body is None
