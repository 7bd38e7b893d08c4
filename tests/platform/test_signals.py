"""Signals to a host as a process, in series and beside each other (FAULT)."""

import asyncio
import contextlib
import os
import signal

import pytest

from tests.platform.host_process import (
    RECORD_LISTENERS,
    RELAY_LISTENERS,
    host_process,
)

# Most of the time that a host has from SIGTERM until it is killed.
STOP_TIMEOUT_S = 8.0


async def send_series(proc, signum, interval_s):
    """Sends a signal again and again until the process has ended."""
    with contextlib.suppress(ProcessLookupError):
        while proc.returncode is None:
            # ``send_signal`` would reap the process, and its status would be lost.
            os.kill(proc.pid, signum)
            await asyncio.sleep(interval_s)


@pytest.mark.parametrize("names", [RELAY_LISTENERS, RECORD_LISTENERS])
@pytest.mark.parametrize(
    ("signum", "interval_s"),
    [(signal.SIGHUP, 0.002), (signal.SIGHUP, 0.02), (signal.SIGTERM, 0.002)],
)
async def test_a_host_stops_beside_a_series_of_signals(
    tmp_path, names, signum, interval_s
):
    """A SIGHUP after the event loop was closed ended the process with its status."""
    async with host_process(
        tmp_path, names=names, data_folder=str(tmp_path / "data")
    ) as host:
        await host.until_logged("host started")
        series = asyncio.create_task(send_series(host.proc, signum, interval_s))
        await asyncio.sleep(1.0)
        if signum == signal.SIGHUP:
            host.proc.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            assert await host.proc.wait() == 0
        await series
        assert host.logged("host stopped")


async def test_a_series_of_reloads_leaves_time_for_the_rest(tmp_path):
    async with host_process(tmp_path) as host:
        await host.until_logged("host started")
        series = asyncio.create_task(send_series(host.proc, signal.SIGHUP, 0.002))
        await host.until_ready()
        await host.until_logged("settings reloaded")
        series.cancel()


async def test_a_level_that_does_not_exist_leaves_the_log_as_it_was(tmp_path):
    async with host_process(tmp_path) as host:
        await host.until_logged("host started")
        path = tmp_path / "settings.json"
        path.write_text(path.read_text()[:-1] + ', "logs": {"level": "NONE"}}')
        host.proc.send_signal(signal.SIGHUP)
        await host.until_logged("settings not reloaded")
        host.proc.send_signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            assert await host.proc.wait() == 0
        assert host.logged("host stopped")
