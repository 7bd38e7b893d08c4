"""Answers that targets break off, and answers that are none in HTTP (C3).

Each is sent on every way from a target to a caller: on each kind of route, through
another host, as a turn, and while the target has not read the request. Guards against a
host that passes the part it got on as a whole answer, or a status that is none.
"""

import asyncio
import contextlib

from tests.platform.cut_path import CutPath
from tests.platform.deployment import Deployment, config
from tests.platform.raw_target import (
    CHUNKED,
    EVENTS,
    OWN_ID,
    READ_PAUSE_S,
    SEAL,
    End,
    RawTarget,
)
from tests.platform.target_standin import read_until_closed
from tests.platform.test_cut_hosts import until_cut, warm_up

EVENT = b"id: 1\ndata: one\n\n"
LENGTH = f"Content-Length: {len(EVENT)}"
KEEP = "Connection: keep-alive"
STATUSES = ("000", "099", "600", "999", "00", "2000", "-20", "20x", "1e2", "101")
INTERIM = {
    "none": b"",
    "100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "several": b"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n",
    "1.0": b"HTTP/1.0 103 X\r\n\r\n",
    "101": b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "with a body": b"HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nhi",
    "with chunks": b"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhi\r\n0\r\n\r\n",
    "with bytes": b"HTTP/1.1 103 X\r\n\r\nhi",
}
# The others are none in HTTP; what follows them is not taken for an answer either.
SOUND_INTERIM = {"none", "100", "several"}
# More than the kernel takes for a target that does not read; a host sends at most 4 MB
# through another.
UPLOAD_BYTES = 7_500_000
DETOUR_UPLOAD_BYTES = 3_900_000
# Time in which the host sees that a target has reset a connection, in seconds.
END_S = 3 * READ_PAUSE_S
PATHS = {
    "/safe/x": "app",
    "/pay/x": "app",
    "/plan/x": "lm",
    "/talk/x": "lm",
    "/stream/x": "lm",
}


def head(*fields, status="200", version="1.1"):
    lines = [f"HTTP/{version} {status} X", SEAL, OWN_ID, EVENTS, *fields, "", ""]
    return "\r\n".join(lines).encode()


def whole_answers():
    """Returns sound answers, as the steps of a target."""
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT), EVENT)
    return {
        "bare": (head() + EVENT, End.CLOSE),
        "bare 1.0": (head(version="1.0") + EVENT, End.CLOSE),
        "bare 1.0 kept": (head(KEEP, version="1.0") + EVENT, End.CLOSE),
        "length": (head(LENGTH) + EVENT,),
        "length, reset": (head(LENGTH) + EVENT, End.RESET),
        "length 1.0": (head(LENGTH, version="1.0") + EVENT, End.CLOSE),
        "length 1.0 kept": (head(LENGTH, KEEP, version="1.0") + EVENT,),
        "chunks": (head(CHUNKED) + chunks,),
        "chunks, closed": (head(CHUNKED) + chunks, End.CLOSE),
    }


def cut_answers():
    """Returns answers that are broken off after a whole event."""
    more = f"Content-Length: {len(EVENT) + 1}"
    chunk = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
    answers = {
        "bare": (head() + EVENT, End.RESET),
        "bare, empty": (head(), End.RESET),
        "bare 1.0": (head(version="1.0") + EVENT, End.RESET),
        "bare 1.0 kept": (head(KEEP, version="1.0") + EVENT, End.RESET),
    }
    for end in (End.RESET, End.CLOSE):
        answers |= {
            f"length, {end}": (head(more) + EVENT, end),
            f"length 1.0, {end}": (head(more, version="1.0") + EVENT, end),
            f"length 1.0 kept, {end}": (
                head(more, KEEP, version="1.0") + EVENT,
                end,
            ),
            f"chunks, {end}": (head(CHUNKED) + chunk, end),
            f"chunks 1.0, {end}": (head(CHUNKED, version="1.0") + chunk, end),
            f"no last line, {end}": (head(CHUNKED) + chunk + b"0\r\n", end),
        }
    return answers


def invalid_answers():
    """Returns answers whose status is none, by status and framing."""
    answers = {}
    for status in STATUSES:
        answers |= {
            f"{status}, length": (head(LENGTH, status=status) + EVENT,),
            f"{status}, closed": (head(status=status) + EVENT, End.CLOSE),
            f"{status}, reset": (head(status=status) + EVENT, End.RESET),
        }
    return answers


class EarlyTarget(RawTarget):
    """Answers when the head of a request has arrived, and does not read its body.

    Attributes:
        ending: Writers of the connections that it ends, until the host has closed those
            that are not reset.
    """

    early = False

    def __init__(self, name, service):
        super().__init__(name, service)
        self.ending = set()

    async def _handle_connection(self, reader, writer):
        try:
            await super()._handle_connection(reader, writer)
        finally:
            self.ending.discard(writer)

    async def _write_scripted_answer(
        self, act, reader, writer, request_id, path, headers
    ):
        if isinstance(act[-1], End):
            self.ending.add(writer)
        keeps_open = await super()._write_scripted_answer(
            act, reader, writer, request_id, path, headers
        )
        if act[-1] is End.CLOSE and not self.early:
            writer.write_eof()
            # The host closes its side when it has seen the end of this one.
            await read_until_closed(reader)
        return keeps_open

    async def _handle_request(self, reader, writer):
        if not self.early:
            return await super()._handle_request(reader, writer)
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
        method, path, _ = lines[0].split(" ")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        self.runs.append((method, path, fields, None))
        request_id = fields["magnoliaroad-request-id"]
        await self._write_scripted_answer(
            self.script[0], reader, writer, request_id, path, fields
        )
        return False


@contextlib.asynccontextmanager
async def deployment_of(tmp_path, hosts=1):
    """Yields hosts with two targets of each service, which are never avoided."""
    targets = [EarlyTarget(f"i-{n}", ("app", "lm")[n % 2]) for n in range(4)]
    async with Deployment(tmp_path, *targets, hosts=hosts) as deployment:
        limits = {"max_body_bytes": 8_000_000, "idle_timeout_ms": 15000}
        deployment.kv.write("op/config", config(version=4, limits=limits))
        await deployment.start_records()
        await deployment.until(
            lambda: all(r.plans.version == 4 for r in deployment.relays)
        )
        for relay in deployment.relays:
            relay.table.record_failure = lambda *args: 0.0
        yield deployment


def set_answer(deployment, steps):
    for target in deployment.targets:
        target.script = [steps]


async def until_ends_seen(deployment):
    """Waits until the host has seen the end of each connection that targets end."""
    targets = deployment.targets
    await deployment.until(lambda: not any(target.ending for target in targets))
    await asyncio.sleep(END_S)


async def passed_on(deployment, answers, make_body=lambda: b"m", paths=PATHS):
    """Returns the answers that callers got as whole ones, by path, interim and name."""
    passed = {}
    for name, (first, *ends) in answers.items():
        for interim, before in INTERIM.items():
            set_answer(deployment, (before + first, *ends))
            ran = sum(len(target.runs) for target in deployment.targets)
            calls = [deployment.call(path, "POST", make_body()) for path in paths]
            for path, answer in zip(paths, await asyncio.gather(*calls), strict=True):
                status, _, received = answer
                if status < 500 and received is not None:
                    passed[path, interim, name] = status, received
            runs = sum(len(target.runs) for target in deployment.targets)
            assert runs - ran >= len(paths)
            if passed and ends:
                await until_ends_seen(deployment)
    return passed


async def check_answers(deployment, paths=PATHS):
    whole = await passed_on(deployment, whole_answers(), paths=paths)
    assert set(whole.values()) == {(200, EVENT)}
    assert {interim for _, interim, _ in whole} == SOUND_INTERIM
    assert len(whole) == len(SOUND_INTERIM) * len(whole_answers()) * len(paths)
    assert await passed_on(deployment, cut_answers(), paths=paths) == {}
    assert await passed_on(deployment, invalid_answers(), paths=paths) == {}


async def test_only_whole_answers_are_passed_on(tmp_path):
    async with deployment_of(tmp_path) as deployment:
        await check_answers(deployment)


async def upload(size=UPLOAD_BYTES):
    """Yields a body that callers send in chunks."""
    for _ in range(size // 100_000):
        yield b"u" * 100_000


def early_answers():
    """Returns the answers without a length that are reset, and statuses that are none.

    A reset discards what the host has not read of the upload.
    """
    answers = {"bare": cut_answers()["bare"]}
    answers |= {n: a for n, a in invalid_answers().items() if n.endswith("reset")}
    return answers


async def test_an_answer_that_is_reset_during_an_upload_is_not_whole(tmp_path):
    paths = ["/safe/x", "/pay/x", "/plan/x"]
    async with deployment_of(tmp_path) as deployment:
        for target in deployment.targets:
            target.early = True
        # One after the other, for the memory of the host.
        for path in paths:
            assert not await passed_on(deployment, early_answers(), upload, [path])


async def test_no_target_answers_a_request_that_its_caller_still_sends(tmp_path):
    """Guards against an answer that ends before the request has been read."""
    async with deployment_of(tmp_path) as deployment:
        set_answer(deployment, cut_answers()["bare"])
        for target in deployment.targets:
            target.early = True

        async def slowly():
            async for chunk in upload(400_000):
                yield chunk
                await asyncio.sleep(0.05)
                runs.append(sum(len(target.runs) for target in deployment.targets))

        for path in PATHS:
            runs = []
            before = sum(len(target.runs) for target in deployment.targets)
            status, _, body = await deployment.call(path, "POST", slowly())
            assert status == 502 or body is None
            assert runs == [before] * 4


async def test_a_turn_that_is_broken_off_is_not_kept(tmp_path):
    async with deployment_of(tmp_path) as deployment:
        for name, steps in (cut_answers() | invalid_answers()).items():
            set_answer(deployment, steps)
            _, turn, body = await deployment.turn(program=name.partition(",")[0])
            set_answer(deployment, whole_answers()["length"])
            status, _, _ = await deployment.turn(Magnoliaroad_Previous_Turn=turn)
            assert (name, status) in {(name, 404), (name, 503)}
        for name, steps in whole_answers().items():
            set_answer(deployment, steps)
            _, turn, _ = await deployment.turn()
            await until_ends_seen(deployment)
            status, _, _ = await deployment.turn(Magnoliaroad_Previous_Turn=turn)
            assert (name, status) == (name, 200)
            await until_ends_seen(deployment)


async def test_only_whole_answers_are_passed_on_through_another_host(tmp_path):
    paths = ["/safe/x", "/pay/x", "/plan/x"]
    async with deployment_of(tmp_path, hosts=2) as deployment:
        set_answer(deployment, whole_answers()["length"])
        await warm_up(deployment)
        CutPath(deployment.relays[0]).cut("reset")
        await until_cut(deployment, "app", "lm")
        await check_answers(deployment, paths=paths)
        for target in deployment.targets:
            target.early = True
        answers, size = early_answers(), DETOUR_UPLOAD_BYTES
        assert not await passed_on(
            deployment, answers, lambda: upload(size), ["/pay/x"]
        )
        assert all(map(deployment.relays[0].prober.paths.is_cut, ("app", "lm")))
