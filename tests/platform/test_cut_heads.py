"""Targets that stop in the middle of the head of their answer."""

import asyncio

import pytest

from tests.platform.deployment import UNLIMITED, Deployment
from tests.platform.raw_caller import exchange
from tests.platform.raw_target import EVENTS, OWN_ID, SEAL, CaseTarget, End, head

LIMIT_MS = "1000"
# Cases at a time, so that the event loop of host and targets is on time beside load.
MAX_CASES = 12
PATHS = ["/safe/", "/pay/", "/stream/", "/plan/"]
BODY = b"id: 1\ndata: one\n\n"
HEADS = {
    "length": head(OWN_ID, SEAL, EVENTS, f"Content-Length: {len(BODY)}"),
    "chunks": head("Transfer-Encoding: chunked", OWN_ID, SEAL, EVENTS),
    "close": head(OWN_ID, SEAL, EVENTS),
    "version 1.0": head(OWN_ID, SEAL).replace(b"HTTP/1.1", b"HTTP/1.0"),
    "early hints": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    + head(OWN_ID, SEAL, "Content-Length: 0"),
    "no content": head(OWN_ID, SEAL, status=204),
}


def line_places(text):
    """Returns the places inside each line, around its CR and after its LF."""
    places, start = set(), 0
    for line in text.split(b"\r\n")[:-1]:
        end = start + len(line)
        places |= {start + len(line) // 2, end, end + 1, end + 2}
        start = end + 2
    return sorted(places - {len(text)})


def cuts():
    """Yields path, head, place and end of each case."""
    for name, text in HEADS.items():
        for path in PATHS:
            for place in line_places(text):
                yield path, name, place, End.CLOSE
    for name in ("length", "early hints"):
        for path in PATHS:
            for place in line_places(HEADS[name]):
                yield path, name, place, End.RESET
    for path in PATHS:
        for place in line_places(HEADS["early hints"]):
            yield path, "early hints", place, End.BY_HOST


def byte_cuts():
    """Yields the cases of answers to an unsafe request that are closed anywhere."""
    for name in ("length", "early hints"):
        for place in range(len(HEADS[name])):
            yield "/pay/", name, place, End.CLOSE


class CutHeads:
    """Calls whose first answer is cut inside its head.

    Args:
        second: Answer of the second target; by default it is cut as the first.
    """

    def __init__(self, tmp_path, second=None):
        self.second = second
        self.answers = {}
        self.targets = [
            CaseTarget(f"i-{service}-{number}", service, self.answers)
            for number in (1, 2)
            for service in ("app", "lm")
        ]
        self.deployment = Deployment(tmp_path, *self.targets)
        self._turns = asyncio.Semaphore(MAX_CASES)

    async def outcomes(self, cases):
        """Returns status, body, whether it is whole, and the runs of each case."""
        async with self.deployment:
            await self.deployment.start_records()
            results = await asyncio.gather(
                *(self._call(number, *case) for number, case in enumerate(cases))
            )
        return dict(zip(cases, results, strict=True))

    async def _call(self, number, *case):
        async with self._turns:
            return await self._exchange(number, *case)

    async def _exchange(self, number, prefix, name, place, end):
        path = f"{prefix}{number}"
        self.answers[path] = [(HEADS[name][:place], end)]
        if self.second is not None:
            self.answers[path].append((self.second,))
        answer = await exchange(
            self.deployment,
            path,
            body=path.encode(),
            Authorization=UNLIMITED,
            Magnoliaroad_Deadline_Ms=LIMIT_MS if end is End.BY_HOST else "10000",
            Magnoliaroad_Program_Id=path,
        )
        ran = sum(run[1] == path for target in self.targets for run in target.runs)
        return answer.status, answer.body, answer.whole, ran


@pytest.mark.usefixtures("unlogged", "uncooled")
async def test_no_part_of_a_cut_head_is_passed_on(tmp_path):
    seen = await CutHeads(tmp_path).outcomes([*cuts(), *byte_cuts()])
    wrong = {}
    for case, (status, body, whole, ran) in seen.items():
        path, _, _, end = case
        expected = (504 if end is End.BY_HOST else 502, 2 if path == "/safe/" else 1)
        if (status, ran) != expected or not whole or not body.startswith(b"The target"):
            wrong[case] = status, body, whole, ran
    assert wrong == {}


@pytest.mark.usefixtures("unlogged", "uncooled")
async def test_a_safe_request_gets_the_second_targets_answer_after_a_cut_head(tmp_path):
    cases = [case for case in cuts() if case[0] == "/safe/"]
    seen = await CutHeads(tmp_path, HEADS["length"] + BODY).outcomes(cases)
    assert seen == dict.fromkeys(cases, (200, BODY, True, 2))
