"""Hosts as processes whose start fails for a reason that passes (FAULT).

Guards against hosts that end by themselves, and again at each start, as long as their
disk cannot be used.
"""

import asyncio
import signal

import pytest

from tests.platform.host_process import RECORD_LISTENERS, host_process

FAILING_S = 1.5


async def end(host):
    host.proc.send_signal(signal.SIGTERM)
    async with asyncio.timeout(10.0):
        return await host.proc.wait()


@pytest.mark.parametrize("folder", ["records", "escrow"])
async def test_a_host_starts_once_its_disk_can_be_used(tmp_path, folder):
    in_the_way = tmp_path / folder
    in_the_way.touch()
    async with host_process(tmp_path, names=RECORD_LISTENERS) as host:
        await host.until_logged("host not started")
        await asyncio.sleep(FAILING_S)
        assert host.proc.returncode is None
        in_the_way.unlink()
        await host.until_logged("host started")
        assert await end(host) == 0
    lines = host.logged("host not started")
    assert all("FileExistsError" in line["trace"] for line in lines)
    assert len(lines) <= 4


async def test_a_host_that_cannot_start_can_be_stopped(tmp_path):
    (tmp_path / "records").touch()
    async with host_process(tmp_path, names=RECORD_LISTENERS) as host:
        await host.until_logged("host not started")
        await asyncio.sleep(FAILING_S)
        assert await end(host) == 0
