"""Answers without a body, informational answers and trailers."""

import pytest

from tests.platform.deployment import Deployment
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

PATHS = ["/safe/", "/pay/", "/plan/", "/stream/", "/talk/"]
NOT_RUN = "Magnoliaroad-Not-Executed: 1"
UPGRADE = "Connection: upgrade\r\nUpgrade: websocket"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
BODY = b"data: one\n\n"
WHOLE = head(SEAL, OWN_ID, EVENTS, f"Content-Length: {len(BODY)}") + BODY
LENGTH = "Content-Length: 1000"
# Answers without a body, by method and status.
BODILESS = {
    "HEAD by length": ("HEAD", 200, head(SEAL, OWN_ID, LENGTH)),
    "HEAD by chunks": ("HEAD", 200, head(SEAL, OWN_ID, CHUNKED)),
    "HEAD by close": ("HEAD", 200, head(SEAL, OWN_ID)),
    "HEAD of an error": ("HEAD", 500, head(SEAL, OWN_ID, LENGTH, status=500)),
    "HEAD that is refused": (
        "HEAD",
        503,
        head(OWN_ID, NOT_RUN, "Content-Length: 4", status=503),
    ),
    "204": ("POST", 204, head(SEAL, OWN_ID, status=204)),
    "204 with a length": ("POST", 204, head(SEAL, OWN_ID, LENGTH, status=204)),
    "204 with chunks": ("POST", 204, head(SEAL, OWN_ID, CHUNKED, status=204)),
    "204 that refuses": ("POST", 503, head(OWN_ID, NOT_RUN, status=204)),
    "304": ("POST", 304, head(SEAL, OWN_ID, status=304)),
    "304 with a length": ("POST", 304, head(SEAL, OWN_ID, LENGTH, status=304)),
    "304 that refuses": ("POST", 503, head(OWN_ID, NOT_RUN, status=304)),
}
# Bytes of targets before or in a whole answer that are no part of it.
INTERIM = {
    "103": HINTS + WHOLE,
    "two 103": HINTS + HINTS + WHOLE,
    "100": head(status=100) + WHOLE,
    "103 that refuses": head(OWN_ID, NOT_RUN, status=103) + WHOLE,
    "103 with another id": head("Magnoliaroad-Request-Id: x", status=103) + WHOLE,
    "trailers": head(SEAL, OWN_ID, EVENTS, CHUNKED)
    + b"%x\r\n%b\r\n0\r\nMagnoliaroad-Request-Id: x\r\nX: y\r\n\r\n"
    % (len(BODY), BODY),
}
NO_ANSWERS = {
    "103 alone": (HINTS, End.CLOSE),
    "204 with a body": (head(SEAL, OWN_ID, LENGTH, status=204) + b"hello",),
    "304 with a body": (head(SEAL, OWN_ID, LENGTH, status=304) + b"hello",),
    "101": (head(SEAL, OWN_ID, status=101),),
    "101 with an upgrade": (head(SEAL, OWN_ID, UPGRADE, status=101) + b"hello",),
    "000": (head(SEAL, OWN_ID, "Content-Length: 0", status="000"),),
    "600": (head(SEAL, OWN_ID, "Content-Length: 0", status=600),),
}


class OneTarget:
    """A host with one target of each service."""

    def __init__(self, tmp_path):
        self.answers = {}
        self.targets = [CaseTarget(f"i-{s}", s, self.answers) for s in ("app", "lm")]
        self.deployment = Deployment(tmp_path, *self.targets)

    async def call(self, prefix, act, method="POST"):
        """Returns the answer; the next one on the target's connection is its own."""
        path = prefix + "first"
        self.answers[path] = [act]
        answer = await exchange(self.deployment, path, method)
        following = prefix + "next"
        self.answers[following] = [(WHOLE,)]
        after = await exchange(self.deployment, following)
        assert (after.status, after.body, after.whole) == (200, BODY, True)
        return answer


@pytest.mark.usefixtures("unlogged", "uncooled")
@pytest.mark.parametrize("prefix", PATHS)
async def test_an_answer_without_a_body_does_not_take_bytes_of_the_next(
    tmp_path, prefix
):
    host = OneTarget(tmp_path)
    async with host.deployment as deployment:
        await deployment.start_records()
        for method, status, act in BODILESS.values():
            answer = await host.call(prefix, (act,), method)
            assert (answer.status, answer.whole) == (status, True)
            assert status == 503 or not answer.body
            assert "transfer-encoding" not in answer.headers
            assert status != 204 or "content-length" not in answer.headers


@pytest.mark.parametrize(("path", "status"), [("/none/x", 404), ("/pay/x", 401)])
async def test_a_refused_head_request_gets_no_body(tmp_path, path, status):
    async with OneTarget(tmp_path).deployment as deployment:
        answer = await exchange(deployment, path, "HEAD", Authorization="Bearer none")
        assert answer.status == status
        assert int(answer.headers["content-length"]) > 0


@pytest.mark.usefixtures("unlogged", "uncooled")
@pytest.mark.parametrize("prefix", PATHS)
async def test_informational_answers_and_trailers_are_no_part_of_an_answer(
    tmp_path, prefix
):
    host = OneTarget(tmp_path)
    async with host.deployment as deployment:
        await deployment.start_records()
        for act in INTERIM.values():
            answer = await host.call(prefix, (act,))
            assert (answer.status, answer.body, answer.whole) == (200, BODY, True)
            assert not {"x", "link"} & answer.headers.keys()


@pytest.mark.usefixtures("unlogged", "uncooled")
@pytest.mark.parametrize("prefix", PATHS)
async def test_what_is_no_final_answer_is_not_passed_on(tmp_path, prefix):
    host = OneTarget(tmp_path)
    async with host.deployment as deployment:
        await deployment.start_records()
        seen = {
            name: (await host.call(prefix, act)).status
            for name, act in NO_ANSWERS.items()
        }
        assert seen == dict.fromkeys(NO_ANSWERS, 502)
        # Each was sent once, and followed by a request that was answered.
        runs = sum(len(target.runs) for target in host.targets)
        assert runs == 2 * len(NO_ANSWERS)
