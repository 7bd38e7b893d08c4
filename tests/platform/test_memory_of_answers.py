"""Answers that are no HTTP or break off (FAULT).

Guards against hosts that the platform ends for their memory, since what targets have
sent lives on in reference cycles.
"""

import asyncio
import itertools

import pytest

from tests.platform.host_process import HEADERS, host_process, send_and_leave
from tests.platform.raw_caller import request_bytes
from tests.platform.raw_target import CHUNKED, OWN_ID, SEAL, End, RawTarget, head

# A host holds 45 to 50 MB at rest; the platform ends the smallest at 150 MB.
MOST_MB = 100.0
SIZE = 200_000
PIECE = b"x" * SIZE
LINE = b"x" * 70
TEXT = "Content-Type: text/plain"
ONE_BYTE = "Content-Length: 1"
UPGRADE = "Connection: Upgrade\r\nUpgrade: x"
CALLERS = 10
# Requests that the targets get; those that are refused while targets rest are repeated.
LEAST_RUNS = 450
MOST_SENT = 4 * LEAST_RUNS

BY_LENGTH = head(SEAL, OWN_ID, TEXT, f"Content-Length: {2 * SIZE}") + PIECE
BY_CHUNKS = head(SEAL, OWN_ID, TEXT, CHUNKED)
CHUNK = b"%x\r\n%b\r\n" % (SIZE, PIECE)
NO_CHUNK = b"z\r\n" + PIECE
BY_CLOSE = head(SEAL, OWN_ID, TEXT) + PIECE

# What a target writes, with pauses in seconds, before it ends the connection.
UNSOUND = {
    "no HTTP": (PIECE, End.CLOSE),
    "lines": ((LINE + b"\r\n") * (SIZE // len(LINE)), End.CLOSE),
    "bad field": (head(SEAL, OWN_ID, TEXT, "bad field " + "x" * SIZE), End.CLOSE),
    "other id": (head(SEAL, TEXT, f"Content-Length: {SIZE}") + PIECE, End.CLOSE),
    "other protocol": (head(SEAL, OWN_ID, UPGRADE, status=101) + PIECE, End.CLOSE),
    "body cut": (BY_LENGTH, End.CLOSE),
    "body reset": (BY_LENGTH, End.RESET),
    "body by close reset": (BY_CLOSE, End.RESET),
    "chunk cut": (BY_CHUNKS + CHUNK[: SIZE // 2], End.CLOSE),
    "bad chunk size": (BY_CHUNKS + CHUNK + NO_CHUNK, End.CLOSE),
    "bad chunk size later": (BY_CHUNKS + CHUNK, 0.01, NO_CHUNK, End.CLOSE),
    "bytes after its end": (head(SEAL, OWN_ID, ONE_BYTE) + b"x" + PIECE, End.CLOSE),
    "bytes later": (head(SEAL, OWN_ID, ONE_BYTE) + b"x", 0.01, PIECE, End.CLOSE),
}
# Paths of a route whose answers are buffered and of one whose answers are not.
PATHS = ("/pay/x", "/plan/x")


@pytest.mark.parametrize("kind", UNSOUND)
async def test_unsound_answers_do_not_take_a_host_over_its_memory(tmp_path, kind):
    services = ("app", "app", "lm", "lm")
    targets = [RawTarget(f"i-{i}", service) for i, service in enumerate(services)]
    for target in targets:
        target.script = [UNSOUND[kind]]
    numbers = itertools.count()
    async with host_process(tmp_path, *targets) as host:
        await host.until_ready()

        def runs():
            return sum(len(target.runs) for target in targets)

        async def send():
            # Another path each time: requests that lose their connections again and
            # again are refused.
            while runs() <= LEAST_RUNS and (number := next(numbers)) < MOST_SENT:
                path = f"{PATHS[number % len(PATHS)]}{number}"
                data = request_bytes(HEADERS, path, "POST", body=b"x")
                await send_and_leave(host.listen["callers"], data, 2.0)

        await asyncio.gather(*(send() for _ in range(CALLERS)))
        assert runs() > LEAST_RUNS
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB
