"""What peers, or who takes himself for one, make a host hold (FAULT).

Guards against hosts that the platform ends for their memory.
"""

import asyncio
import contextlib
import itertools
from collections import Counter

import msgpack
import pytest

from magnoliaroad.peers import PeerAddress, PeerService
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.records.messages import (
    FetchRecord,
    FetchRecordReply,
    KeepRecord,
    KeepRecordReply,
)
from magnoliaroad.relay.detour_messages import (
    DetourFailure,
    DetourHead,
    DetourRequest,
    pack_headers,
    pack_text,
)
from tests.platform.host_process import (
    HEADERS,
    RECORD_LISTENERS,
    RELAY_LISTENERS,
    host_process,
)
from tests.platform.raw_caller import raw_connection
from tests.platform.target_standin import TargetStandin

# A host holds 45 to 50 MB at rest; the platform ends the smallest at 150 MB.
MOST_MB = 100.0
WRITE_S = 2.0

SMALL_REQUEST = msgpack.packb((0, 1, "Nothing", (b"x" * 60,)))
LONG_HEARTBEAT = msgpack.packb((4, 0, "n" * 1_000_000, ()))
# What senders write again and again without reading, and how many of them.
UNREAD = {
    "replies": (SMALL_REQUEST * 600, 20),
    "heartbeats": (LONG_HEARTBEAT, 5),
}
# The head of a message whose fields are of the size of the largest frame.
HALF = b"\x94\x03\x00\xa1x"
LONG_BYTES = HALF + b"\xc6" + (7_900_000).to_bytes(4, "big")
LONG_ARRAY = HALF + b"\xdd" + (7_340_032).to_bytes(4, "big")
PIECE = 65_536
PIECES = 100
RECORD = b"x" * 300_000
LARGE_BODY = b"x" * 3_900_000
REQUESTS = 40
# What senders begin with, what they write then again and again, and how many there are.
UNENDED = {
    "bytes": (LONG_BYTES, b"x" * PIECE, 100),
    "nested arrays": (b"\xdd\x00\x70\x00\x00" + b"\x91" * 100, b"\xc0" * PIECE, 20),
    "empty maps": (LONG_ARRAY, b"\x80" * PIECE, 4),
    "array without end": (b"\xdd\xff\xff\xff\xff", b"\x80" * PIECE, 4),
    "long tags": (b"", msgpack.packb((0, 1, "N" * 1_000_000, ())), 20),
    "unknown": (b"", msgpack.packb((0, 1, "Nothing", (b"x" * 1_000_000,))), 20),
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


@pytest.mark.parametrize("names", [RELAY_LISTENERS, RECORD_LISTENERS])
@pytest.mark.parametrize("kind", UNENDED)
async def test_large_frames_do_not_take_a_host_over_its_memory(tmp_path, kind, names):
    opening, piece, count = UNENDED[kind]
    async with host_process(tmp_path, names=names) as host:
        await host.until_logged("host started")
        senders = (
            write_unread(
                host.listen["peers"], (opening, *itertools.repeat(piece, PIECES))
            )
            for _ in range(count)
        )
        await asyncio.gather(*senders)
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB


async def test_records_that_a_peer_reads_do_not_take_a_host_over_its_memory(tmp_path):
    """Guards against a record host that holds a reply for each read of one peer."""
    async with (
        host_process(
            tmp_path, names=RECORD_LISTENERS, data_folder=str(tmp_path / "data")
        ) as host,
        PeerService(PeerSettings(), "relay", "127.0.0.1", 0) as peers,
    ):
        await host.until_logged("host started")
        address, _, port = host.listen["peers"].rpartition(":")
        peers.set_addresses([PeerAddress("host-1", "", address, int(port))])
        peers.register_replies(KeepRecordReply, FetchRecordReply)
        keys = [f"turns/{number}" for number in range(14)]
        for key in keys:
            record = KeepRecord(key, RECORD, 60.0, [], False)
            assert (await peers.call("host-1", record, 10.0)).synced
        calls = (peers.call("host-1", FetchRecord(key), 30.0) for key in keys * 60)
        replies = await asyncio.gather(*calls)
        assert all(reply.found and reply.value == RECORD for reply in replies)
        assert host.peak_mb() < MOST_MB


async def test_requests_of_peers_do_not_take_a_host_over_its_memory(tmp_path):
    target = TargetStandin("i-app", "app")
    target.script = ["silent"]
    async with (
        host_process(tmp_path, target) as host,
        PeerService(PeerSettings(), "cut-off", "127.0.0.1", 0) as peers,
    ):
        await host.until_ready()
        address, _, port = host.listen["peers"].rpartition(":")
        peers.set_addresses([PeerAddress("host-1", "", address, int(port))])
        peers.register_replies(DetourHead, DetourFailure)
        url = f"http://{target.address}/pay/x"
        headers = pack_headers({**HEADERS, "Content-Length": str(len(LARGE_BODY))})

        def send(number):
            message = DetourRequest(
                token=str(number),
                request_id="request-1",
                target=target.name,
                started_ms=target.born,
                address=target.address,
                method="POST",
                url=pack_text(url),
                headers=headers,
                body=LARGE_BODY,
                limit_s=2.0,
            )
            return asyncio.create_task(peers.call("host-1", message, 4.0))

        calls = []
        for number in range(REQUESTS):
            calls.append(send(number))
            await asyncio.sleep(0.03)
            # A connection with a full send buffer is closed, with all calls on it.
            while peers.held_bytes():
                await asyncio.sleep(0.01)
        replies = await asyncio.gather(*calls)
        assert host.proc.returncode is None
        assert host.peak_mb() < MOST_MB
    kinds = Counter(reply.kind for reply in replies)
    # Those that were not sent are said to be that, so that another peer may send them.
    assert kinds.keys() == {"peer unable", "timed out"}
    assert kinds["timed out"] == len(target.runs)
