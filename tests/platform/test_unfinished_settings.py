"""Hosts whose settings are still being written when they start (FAULT)."""

import asyncio
import contextlib
import os
import signal
import threading
import time

import pytest

from magnoliaroad.relay.load import wait_for_settings
from tests.platform.host_process import host_process


async def open_for_reader(path, proc):
    """Returns a named pipe that the host has opened for reading."""
    async with asyncio.timeout(20.0):
        while True:
            assert proc.returncode is None
            with contextlib.suppress(OSError):
                return os.fdopen(os.open(path, os.O_WRONLY | os.O_NONBLOCK), "w")
            await asyncio.sleep(0.001)


def replace_by_pipe(path):
    path.rename(path.with_name("whole.json"))
    os.mkfifo(path)


@pytest.mark.parametrize("part", [0, 0.5, 0.99])
async def test_a_host_reads_unfinished_settings_again(tmp_path, part):
    async with host_process(tmp_path, before_start=replace_by_pipe) as host:
        path, whole = tmp_path / "settings.json", tmp_path / "whole.json"
        text = whole.read_text()
        with await open_for_reader(path, host.proc) as pipe:
            pipe.write(text[: int(part * len(text))])
            # The host reads until the pipe is closed, and finds the file afterwards.
            whole.replace(path)
        await host.until_logged("host started")
        host.proc.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10.0):
            assert await host.proc.wait() == 0


def test_settings_that_are_missing_at_first_are_awaited(tmp_path):
    path = tmp_path / "settings.json"
    timer = threading.Timer(0.2, lambda: path.write_text("{}"))
    timer.start()
    began = time.monotonic()
    wait_for_settings(path, 20.0)
    timer.join()
    assert path.exists()
    assert time.monotonic() - began < 20.0


@pytest.mark.parametrize("text", [None, "", '{"name": '])
def test_the_wait_for_settings_ends(tmp_path, text):
    path = tmp_path / "settings.json"
    if text is not None:
        path.write_text(text)
    began = time.monotonic()
    wait_for_settings(path, 0.2)
    assert time.monotonic() - began >= 0.2
