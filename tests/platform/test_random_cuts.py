"""Random answers that are cut anywhere and written in random pieces."""

import asyncio
import enum
import itertools
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

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
from tests.relay.event_model import EventModel

PATHS = ["/safe/", "/pay/", "/plan/", "/stream/", "/talk/"]
FIELDS = st.sampled_from([b": note", b"id: 7", "data: aß漢😀".encode(), b"data", b"x"])
BODIES = st.lists(
    st.builds(
        bytes.__add__,
        st.one_of(FIELDS, st.just(b"")),
        st.sampled_from([b"\n", b"\n", b"\r\n", b"\r"]),
    ),
    max_size=10,
).map(b"".join)
END_OF_CHUNKS = b"0\r\n\r\n"


class Framing(enum.Enum):
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Answer(NamedTuple):
    """An answer, and how much of it a target writes.

    Attributes:
        path: Path of the route.
        framing: How its end is told.
        pieces: The whole body, in the pieces that are written.
        size: Bytes that are written, of head, body and framing.
        end: How the connection ends then, unless the answer has ended before.
    """

    path: str
    framing: Framing
    pieces: list[bytes]
    size: int
    end: End


def head_of(framing, body):
    lines = {
        Framing.LENGTH: [f"Content-Length: {len(body)}"],
        Framing.CHUNKS: [CHUNKED],
        Framing.CLOSE: [],
    }[framing]
    # The id has a fixed length, so that cuts fall where they were drawn.
    return head(SEAL, OWN_ID, EVENTS, *lines)


def encode(framing, pieces):
    """Returns the body as it is written, in pieces."""
    if framing is not Framing.CHUNKS:
        return pieces
    chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces if piece]
    return [*chunks, END_OF_CHUNKS]


def split(data, places):
    bounds = sorted({0, *places, len(data)})
    return [data[a:b] for a, b in itertools.pairwise(bounds)]


@st.composite
def answers(draw):
    framing = draw(st.sampled_from(Framing))
    body = draw(BODIES)
    pieces = split(body, draw(st.lists(st.integers(0, len(body)), max_size=4)))
    text = head_of(framing, body).replace(b"{id}", ID % 0)
    total = len(text) + sum(map(len, encode(framing, pieces)))
    # Cuts inside the body and at its end are as likely as all others.
    size = draw(
        st.one_of(st.just(total), st.integers(len(text), total), st.integers(0, total))
    )
    end = draw(st.sampled_from([End.CLOSE, End.RESET]))
    return Answer(draw(st.sampled_from(PATHS)), framing, pieces, size, end)


ID = b"cut-%06d"


class Called(NamedTuple):
    """A call with an answer.

    Attributes:
        status: HTTP status.
        body: Body that the caller got.
        whole: Whether it was framed as whole.
        runs: Targets that ran the request.
    """

    status: int
    body: bytes
    whole: bool
    runs: int


class CutAnswers:
    """A host that is called once for each answer."""

    def __init__(self, tmp_path):
        self.answers = {}
        self.targets = [
            CaseTarget(f"i-{service}-{number}", service, self.answers)
            for number in (1, 2)
            for service in ("app", "lm")
        ]
        self.deployment = Deployment(tmp_path, *self.targets)
        self._numbers = itertools.count(1)

    async def start(self):
        await self.deployment.__aenter__()
        await self.deployment.start_records()

    async def stop(self):
        await self.deployment.__aexit__()

    async def call(self, answer, places):
        """Returns what a caller gets whose answer is written in pieces."""
        number = next(self._numbers)
        path, request_id = f"{answer.path}{number}", ID % number
        text = head_of(answer.framing, b"".join(answer.pieces))
        whole = text.replace(b"{id}", request_id) + b"".join(
            encode(answer.framing, answer.pieces)
        )
        written = split(whole[: answer.size], [p for p in places if p < answer.size])
        # A pause of no time lets the host read each piece by itself.
        steps = list(itertools.chain.from_iterable((piece, 0.0) for piece in written))
        if answer.framing is Framing.CLOSE or answer.size < len(whole):
            steps.append(answer.end)
        self.answers[path] = [tuple(steps)]
        received = await exchange(
            self.deployment,
            path,
            body=path.encode(),
            Authorization=UNLIMITED,
            Magnoliaroad_Request_Id=request_id.decode(),
            Magnoliaroad_Program_Id=f"p-{number}",
        )
        runs = sum(run[1] == path for target in self.targets for run in target.runs)
        return Called(received.status, received.body, received.whole, runs)


def check(answer, called):
    """Checks that the caller sees the whole answer, or that it does not."""
    body = b"".join(answer.pieces)
    text_size = len(head_of(answer.framing, body).replace(b"{id}", ID % 0))
    total = text_size + sum(map(len, encode(answer.framing, answer.pieces)))
    streams = answer.path not in ("/safe/", "/pay/")
    if answer.framing is Framing.CLOSE:
        body = body[: max(0, answer.size - text_size)]
        ended = answer.size >= text_size and answer.end is End.CLOSE
    else:
        ended = answer.size == total
    if ended and (not streams or EventModel(body).complete):
        assert called == (200, body, True, 1)
    elif streams and answer.size >= text_size:
        assert (called.status, called.whole, called.runs) == (200, False, 1)
        assert body.startswith(called.body)
    else:
        assert (called.status, called.whole) == (502, True)
        assert called.runs == (2 if answer.path == "/safe/" else 1)


@pytest.mark.usefixtures("unlogged", "uncooled")
def test_callers_get_a_whole_answer_or_see_that_it_is_not(tmp_path, run):
    cut_answers = CutAnswers(tmp_path)

    @settings(max_examples=250, derandomize=True, deadline=None, database=None)
    @given(answers(), st.lists(st.integers(0, 300), max_size=5))
    def check_any(answer, places):
        async def call():
            async with asyncio.timeout(5.0):
                return await cut_answers.call(answer, places)

        check(answer, run(call()))

    run(cut_answers.start())
    try:
        check_any()
    finally:
        run(cut_answers.stop())
