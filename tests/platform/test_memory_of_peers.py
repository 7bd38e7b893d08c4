"""What peers, or who takes himself for one, make a host hold (FAULT).

Guards against hosts that the platform ends for their memory.
"""

import asyncio
import contextlib
import itertools

import msgpack
import pytest

from tests.platform.host_process import (
    RECORD_LISTENERS,
    RELAY_LISTENERS,
    host_process,
)
from tests.platform.raw_caller import raw_connection

# A host holds 45 to 50 MB at rest; the platform ends the smallest at 150 MB.
MOST_MB = 100.0
WRITE_S = 3.0

SMALL_REQUEST = msgpack.packb((0, 1, "Nothing", (b"x" * 60,)))
LONG_HEARTBEAT = msgpack.packb((4, 0, "n" * 1_000_000, ()))
# What senders write again and again without reading, and how many of them.
UNREAD = {
    "replies": (SMALL_REQUEST * 600, 20),
    "heartbeats": (LONG_HEARTBEAT, 5),
}


async def write_unread(address, pieces):
    """Writes to a host until it takes no more or ``WRITE_S`` have passed."""
    with contextlib.suppress(OSError, TimeoutError):
        async with raw_connection(address) as (_, writer), asyncio.timeout(WRITE_S):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            await asyncio.sleep(WRITE_S)


@pytest.mark.parametrize("names", [RELAY_LISTENERS, RECORD_LISTENERS])
@pytest.mark.parametrize("kind", UNREAD)
async def test_what_peers_do_not_read_does_not_take_a_host_over_its_memory(
    tmp_path, kind, names
):
    piece, count = UNREAD[kind]
    async with host_process(tmp_path, names=names) as host:
        await host.until_logged("host started")
        senders = (
            write_unread(host.listen["peers"], itertools.repeat(piece, 200))
            for _ in range(count)
        )
        await asyncio.gather(*senders)
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB
