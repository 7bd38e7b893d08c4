"""Bytes that are no HTTP (FAULT).

Guards against hosts that the platform ends for their memory, since what could not be
parsed lives on in reference cycles.
"""

import asyncio

import pytest

from tests.platform.host_process import (
    RECORD_LISTENERS,
    RELAY_LISTENERS,
    host_process,
    send_and_leave,
)

GARBAGE = b"\x16\x03\x01" + b"x" * 100_000
SENDERS = 5
SENT_BY_EACH = 400
# A host holds 45 to 50 MB at rest; the platform ends the smallest at 150 MB.
MOST_MB = 100.0


@pytest.mark.parametrize(
    ("names", "name"),
    [
        *((RELAY_LISTENERS, name) for name in RELAY_LISTENERS),
        *((RECORD_LISTENERS, name) for name in RECORD_LISTENERS),
    ],
)
async def test_garbage_does_not_take_a_host_over_its_memory(tmp_path, names, name):
    async with host_process(tmp_path, names=names) as host:
        await host.until_logged("host started")

        async def send():
            for _ in range(SENT_BY_EACH):
                await send_and_leave(host.listen[name], GARBAGE, 0.2)

        await asyncio.gather(*(send() for _ in range(SENDERS)))
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB
