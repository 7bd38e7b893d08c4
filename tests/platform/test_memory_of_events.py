"""Streams with an event that does not end (FAULT).

Guards against hosts that the platform ends for their memory: they keep an event until
its end, to see whether the stream is whole.
"""

import asyncio
import contextlib

import pytest

from tests.platform.host_process import HEADERS, host_process
from tests.platform.raw_caller import raw_connection, request_bytes
from tests.platform.test_endless_answers import (
    ENDED,
    EVENT_HEAD,
    FloodingTarget,
    in_chunk,
)

# A host holds 45 to 50 MB at rest; the platform ends the smallest at 150 MB.
MOST_MB = 100.0
CALLERS = 200
READ_S = 5.0
LONG_LINES = (EVENT_HEAD, in_chunk(b"data: " + b"x" * 60_000 + b"\n"), "")
EVENTS = {"one event": ENDED["one event"], "long lines": LONG_LINES}
LARGE_EVENTS = ENDED["same event"]


@pytest.mark.parametrize("kind", EVENTS)
async def test_events_without_end_do_not_take_a_host_over_its_memory(tmp_path, kind):
    await flood(tmp_path, EVENTS[kind], "/stream/x")


async def test_output_that_is_kept_does_not_take_a_host_over_its_memory(tmp_path):
    await flood(tmp_path, LARGE_EVENTS, "/stream/x")


async def flood(tmp_path, answer, path):
    """Has a host pass 200 answers without end on, and checks its memory."""
    targets = [FloodingTarget(f"i-{number}") for number in range(2)]
    for target in targets:
        target.opening, target.flood, _ = answer
    data = request_bytes(HEADERS, path, "POST", body=b"x")
    async with host_process(tmp_path, *targets) as host:
        await host.until_ready()

        async def read_all():
            with contextlib.suppress(OSError, TimeoutError):
                async with raw_connection(host.listen["callers"]) as (reader, writer):
                    writer.write(data)
                    async with asyncio.timeout(READ_S):
                        while await reader.read(65_536):
                            pass

        await asyncio.gather(*(read_all() for _ in range(CALLERS)))
        assert sum(len(target.runs) for target in targets) >= CALLERS // 2
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB
        for target in targets:
            await target.exit()
