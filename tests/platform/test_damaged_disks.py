"""Record hosts as processes whose disks are full, damaged or can't be written (FAULT).

Guards against hosts that end at their start, and so at each one that follows.
"""

import asyncio
import contextlib
import resource
import signal
from typing import NamedTuple

import msgpack
import pytest
import xxhash

from tests.platform.host_process import RECORD_LISTENERS, host_process

SOUND = ["turns/sound", b"x" * 50, 65.0]


def packed(data):
    return msgpack.packb((xxhash.xxh3_64_intdigest(data), data))


def segment(*tail):
    """Returns a segment with a sound record and ``tail`` after it."""
    return packed(msgpack.packb(SOUND)) + b"".join(tail)


class Disk(NamedTuple):
    """A damaged disk.

    Attributes:
        files: Contents of its files by path; ``None`` for a folder.
        records: Number of records that can be recovered.
        logged: Whether the log tells about the damage.
    """

    files: dict[str, bytes | None]
    records: int = 0
    logged: bool = True


LOG = "records/00000001.log"
DISKS = {
    "nothing": Disk({}, logged=False),
    "file for the data folder": Disk({".": b""}),
    "file for the journal's folder": Disk({"records": b""}),
    "file for the escrow's folder": Disk({"escrow": b""}),
    "folder for a segment": Disk(
        {LOG: None, "records/00000002.log": segment()}, records=1
    ),
    "folder for the identity": Disk({"escrow/identity": None}),
    "folder for the draft of the identity": Disk({"escrow/identity.new": None}),
    "other files": Disk(
        {LOG: segment(), "records/old.log": b"text", "records/a/1.log": b"text"},
        records=1,
        logged=False,
    ),
    "garbage": Disk(
        {
            LOG: segment(b"\xc1\xff garbage"),
            "escrow/00000001.log": b"\xff" * 500,
            "escrow/identity": b"\xff" * 500,
        },
        records=1,
    ),
    "length out of range": Disk({LOG: segment(b"\xdd\x7f\xff\xff\xff\x01")}, records=1),
    "nesting": Disk({LOG: segment(b"\x91" * 5000)}, records=1),
    "newer format": Disk(
        {
            LOG: segment(packed(msgpack.packb({"v": 2})), segment()),
            "escrow/00000001.log": segment(),
            "escrow/identity": msgpack.packb({"v": 2}),
        },
        records=1,
    ),
}


def write(path, data):
    path.parent.mkdir(parents=True, exist_ok=True)
    if data is None:
        path.mkdir()
    else:
        path.write_bytes(data)


@contextlib.asynccontextmanager
async def record_host(tmp_path, folder):
    async with host_process(
        tmp_path, names=RECORD_LISTENERS, data_folder=str(folder)
    ) as host:
        yield host


async def stop(host):
    host.proc.send_signal(signal.SIGTERM)
    async with asyncio.timeout(10.0):
        assert await host.proc.wait() == 0


@pytest.mark.parametrize("kind", DISKS)
async def test_a_record_host_starts_with_a_damaged_disk(tmp_path, kind):
    disk = DISKS[kind]
    for name, data in disk.files.items():
        write(tmp_path / "data" / name, data)
    async with record_host(tmp_path, tmp_path / "data") as host:
        await host.until_logged("host started")
        (line,) = host.logged("journal recovered")
        assert line["records"] == disk.records
        warnings = [line for line in host.lines() if line["level"] != "INFO"]
        assert bool(warnings) == disk.logged
        await stop(host)


async def test_a_record_host_starts_without_a_disk_that_can_be_written(tmp_path):
    async with record_host(tmp_path, "/proc/data") as host:
        await host.until_logged("host started")
        await stop(host)


async def test_a_record_host_starts_with_a_full_disk(tmp_path):
    async with record_host(tmp_path, tmp_path / "data") as host:
        # The log is a file, too, so nothing is logged from here on.
        resource.prlimit(host.proc.pid, resource.RLIMIT_FSIZE, (0, 0))
        async with asyncio.timeout(20.0):
            while not host.kv.state.list("hosts/").changed:
                assert host.proc.returncode is None
                await asyncio.sleep(0.02)
        await stop(host)
