"""Streams that have begun and break off while another target would answer."""

import asyncio
import itertools

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

EVENT = b"id: 1\ndata: one\n\n"
LAST_CHUNK = b"0\r\n\r\n"
LIMIT_MS = "500"
PATHS = ["/stream/", "/plan/"]
BEGUN = {"head": b"", "event": EVENT, "inside an event": EVENT + b"id: 2\ndata: tw"}
BREAKS = {
    "reset": (End.RESET,),
    "close": (End.CLOSE,),
    "silence": (End.BY_HOST,),
    "bad chunk": (b"zz\r\n", 0.05),
    "another head": (head(SEAL, OWN_ID, "Content-Length: 0"), End.CLOSE),
    "last chunk": (LAST_CHUNK,),
}
OTHER = b"id: 1\ndata: other\n\n"
SECONDS = {
    "500": head(SEAL, OWN_ID, "Content-Length: 5", status=500) + b"error",
    "404": head(SEAL, OWN_ID, "Content-Length: 5", status=404) + b"error",
    "refusal": head(
        OWN_ID, "Magnoliaroad-Not-Executed: 1", "Content-Length: 5", status=503
    )
    + b"error",
    "stream": head(SEAL, OWN_ID, EVENTS, f"Content-Length: {len(OTHER)}") + OTHER,
}


def chunk(piece):
    return b"%x\r\n%b\r\n" % (len(piece), piece) if piece else b""


def cases():
    for path, begun, how, second in itertools.product(PATHS, BEGUN, BREAKS, SECONDS):
        if how == "last chunk" and begun != "inside an event":
            continue  # That stream is whole.
        yield path, begun, how, second


class BrokenStreams:
    """Streams whose first target breaks off, beside one that would answer."""

    def __init__(self, tmp_path):
        self.answers = {}
        self.targets = [CaseTarget(f"i-{n}", "lm", self.answers) for n in (1, 2)]
        self.deployment = Deployment(tmp_path, *self.targets)

    async def call(self, number, path, begun, how, second):
        """Returns status, body, whether it is whole, and the runs."""
        path += str(number)
        first = head(SEAL, OWN_ID, EVENTS, CHUNKED) + chunk(BEGUN[begun])
        self.answers[path] = [(first, 0.01, *BREAKS[how]), (SECONDS[second],)]
        answer = await exchange(self.deployment, path, **self._fields(number, path))
        ran = sum(run[1] == path for target in self.targets for run in target.runs)
        return answer.status, answer.body, answer.whole, ran

    def _fields(self, number, path):
        return {
            "body": path.encode(),
            "Authorization": UNLIMITED,
            "Magnoliaroad_Deadline_Ms": LIMIT_MS,
            "Magnoliaroad_Program_Id": f"p-{number}",
            "Magnoliaroad_Request_Id": f"broken-{number}",
        }

    async def next_status(self, number):
        """Returns the status of a turn that follows a broken one."""
        path = f"/stream/next-{number}"
        self.answers[path] = [(SECONDS["stream"],)]
        answer = await exchange(
            self.deployment,
            path,
            Authorization=UNLIMITED,
            Magnoliaroad_Previous_Turn=f"broken-{number}",
            Magnoliaroad_Program_Id=f"p-{number}",
        )
        return answer.status


@pytest.mark.usefixtures("unlogged", "uncooled")
async def test_no_byte_of_another_answer_gets_into_a_stream_that_broke_off(tmp_path):
    streams, named = BrokenStreams(tmp_path), list(cases())
    async with streams.deployment as deployment:
        await deployment.start_records()
        seen = await asyncio.gather(
            *(streams.call(number, *case) for number, case in enumerate(named))
        )
        assert dict(zip(named, seen, strict=True)) == {
            case: (200, BEGUN[case[1]], False, 1) for case in named
        }
        turns = [n for n, case in enumerate(named) if case[0] == "/stream/"]
        statuses = await asyncio.gather(*(streams.next_status(n) for n in turns))
        assert set(statuses) <= {404, 503}
        assert not any("next" in run[1] for t in streams.targets for run in t.runs)
