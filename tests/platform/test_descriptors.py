"""Hosts as processes that run out of file descriptors (FAULT)."""

import asyncio
import contextlib
import resource
import signal
import socket
import time

import pytest

from tests.platform.host_process import (
    RECORD_LISTENERS,
    RELAY_LISTENERS,
    host_process,
    read_metrics,
)

MAX_DESCRIPTORS = 150
CONNECTIONS = 300
HELD_S = 3.0


@contextlib.contextmanager
def idle_connections(address):
    """Opens more connections than the host has descriptors."""
    host, _, port = address.rpartition(":")
    with contextlib.ExitStack() as stack:
        for _ in range(CONNECTIONS):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
        yield


@pytest.mark.parametrize(
    ("names", "name"),
    [
        (RELAY_LISTENERS, "callers"),
        (RELAY_LISTENERS, "peers"),
        (RECORD_LISTENERS, "peers"),
    ],
)
async def test_a_host_waits_for_descriptors(tmp_path, names, name):
    """Guards against attempts to accept that multiply, each with its log line."""
    async with host_process(
        tmp_path, names=names, data_folder=str(tmp_path / "data")
    ) as host:
        await host.until_logged("host started")
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(host.proc.pid, resource.RLIMIT_NOFILE, limits)
        began = time.monotonic()
        with idle_connections(host.listen[name]):
            await host.until_logged("library message")
            await asyncio.sleep(HELD_S)
        assert host.proc.returncode is None
        assert await read_metrics(host.listen["metrics"]) == 200
        elapsed_s = time.monotonic() - began
        lines = host.logged("library message")
        errors = [line for line in lines if "accept() out of" in line["message"]]
        # One attempt a second at each address.
        assert 0 < len(errors) <= len(names) * (elapsed_s + 1)
        host.proc.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10.0):
            assert await host.proc.wait() == 0


@pytest.mark.parametrize(
    ("names", "name"),
    [
        (RELAY_LISTENERS, "ready"),
        (RELAY_LISTENERS, "metrics"),
        (RECORD_LISTENERS, "metrics"),
    ],
)
async def test_status_addresses_use_up_no_descriptors(tmp_path, names, name):
    """Guards against a host that no balancer or scraper reaches while a crowd stays."""
    async with host_process(
        tmp_path, names=names, data_folder=str(tmp_path / "data")
    ) as host:
        await host.until_logged("host started")
        assert await read_metrics(host.listen["metrics"]) == 200
        limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(host.proc.pid, resource.RLIMIT_NOFILE, limits)
        with idle_connections(host.listen[name]):
            await host.until_logged("too many connections")
            assert await read_metrics(host.listen["metrics"]) == 200
        assert not host.logged("library message")
        host.proc.send_signal(signal.SIGTERM)
        async with asyncio.timeout(10.0):
            assert await host.proc.wait() == 0
