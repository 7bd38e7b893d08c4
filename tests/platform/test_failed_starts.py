"""Hosts as processes whose start fails for a reason that passes (FAULT).

Guards against hosts that end by themselves, and again at each start, as long as one of
their services cannot start.
"""

import asyncio
import os
import signal
import sys

import pytest

from tests.platform.host_process import RECORD_LISTENERS, host_process
from tests.soak.fleet import ROOT

FAILING_S = 1.5


async def end(host):
    host.proc.send_signal(signal.SIGTERM)
    async with asyncio.timeout(10.0):
        return await host.proc.wait()


@pytest.fixture
def in_the_way(tmp_path, monkeypatch):
    """Returns the folder of the files while which a service cannot start."""
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join([str(ROOT), *sys.path]))
    folder = tmp_path / "in-the-way"
    folder.mkdir()
    return folder


def blocked_host(tmp_path, path):
    path.touch()
    program = ("-m", "tests.platform.blocked_host", str(path))
    return host_process(tmp_path, names=RECORD_LISTENERS, program=program)


@pytest.mark.parametrize("service", ["records", "escrow"])
async def test_a_host_starts_once_a_service_can_start(tmp_path, in_the_way, service):
    path = in_the_way / service
    async with blocked_host(tmp_path, path) as host:
        await host.until_logged("host not started")
        await asyncio.sleep(FAILING_S)
        assert host.proc.returncode is None
        path.unlink()
        await host.until_logged("host started")
        assert await end(host) == 0
    lines = host.logged("host not started")
    assert all("FileExistsError" in line["trace"] for line in lines)
    assert len(lines) <= 4


@pytest.mark.parametrize("folder", ["records", "escrow"])
async def test_a_host_whose_disk_cannot_be_used_does_not_end(tmp_path, folder):
    (tmp_path / folder).touch()
    async with host_process(tmp_path, names=RECORD_LISTENERS) as host:
        await host.until_logged("host started")
        await asyncio.sleep(FAILING_S)
        assert host.proc.returncode is None
        assert await end(host) == 0


async def test_a_host_that_cannot_start_can_be_stopped(tmp_path, in_the_way):
    async with blocked_host(tmp_path, in_the_way / "records") as host:
        await host.until_logged("host not started")
        await asyncio.sleep(FAILING_S)
        assert await end(host) == 0
