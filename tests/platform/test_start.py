"""The start of the program as a process: signals and garbage collection."""

import asyncio
import gc
import os
import shutil
import signal
import subprocess
import sys

from loguru import logger
from magnoliaroad_platform import main
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.gc_tuning import tune_gc
from tests.soak.fleet import ROOT, catches_sigterm


async def test_a_sigterm_during_imports_ends_with_status_0():
    proc = await asyncio.create_subprocess_exec(
        sys.executable, ROOT / "platform" / "host.py", stderr=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(10.0):
        while not catches_sigterm(proc.pid):
            assert proc.returncode is None
            await asyncio.sleep(0.001)
        proc.send_signal(signal.SIGTERM)
        _, errors = await proc.communicate()
    assert proc.returncode == 0, errors


async def test_a_sighup_during_imports_does_not_end_the_process():
    """LOST: a reload of the settings killed hosts that had just started."""
    proc = await asyncio.create_subprocess_exec(
        sys.executable, ROOT / "platform" / "host.py", stderr=asyncio.subprocess.PIPE
    )
    async with asyncio.timeout(10.0):
        while not catches_sigterm(proc.pid):
            assert proc.returncode is None
            await asyncio.sleep(0.001)
        proc.send_signal(signal.SIGHUP)
        _, errors = await proc.communicate()
    # It ends by itself, as it has no settings.
    assert proc.returncode == 2, errors


DYING = """
import os
import shutil
import signal
import subprocess


class Dying:
    def __del__(self):
        os.kill(os.getpid(), signal.SIGTERM)
        # The handler runs here, where exceptions are ignored.
        sum(range(1000))


Dying()


def main():
    return 3
"""


def test_a_sigterm_during_a_destructor_is_not_lost(tmp_path):
    """Imports run hundreds of destructors and of weak references' callbacks."""
    package = tmp_path / "magnoliaroad_platform"
    package.mkdir()
    (package / "__init__.py").touch()
    (package / "main.py").write_text(DYING)
    host = shutil.copy(ROOT / "platform" / "host.py", tmp_path)
    done = subprocess.run([sys.executable, host], timeout=10.0, capture_output=True)
    assert done.returncode == 0, done.stderr


def test_a_running_host_collects_garbage():
    """Garbage collection is off during the imports."""
    enabled = gc.isenabled()
    try:
        gc.disable()
        tune_gc()
        assert gc.isenabled()
    finally:
        gc.unfreeze()
        gc.set_threshold(700, 10, 10)
        (gc.enable if enabled else gc.disable)()


class FailingHost(Service):
    """A host with a service that fails for good, as its task is not restarted."""

    drained = False

    @Service.task
    async def _fail(self):
        raise LookupError("unexpected")

    async def drain(self):
        self.drained = True


async def test_a_host_whose_service_fails_for_good_ends_and_says_why(monkeypatch):
    """Guards against hosts that go on without their services (FAULT)."""
    host, lines = FailingHost(), []
    monkeypatch.setattr(main, "_application", lambda cfg: host)
    sink = logger.add(lines.append, level="ERROR")
    try:
        async with asyncio.timeout(5.0):
            assert await main._run(None, "") == 1
    finally:
        logger.remove(sink)
    assert host.drained
    (failed,) = (line for line in lines if line.record["message"] == "host failed")
    assert failed.record["exception"].type is LookupError


class RecoveringHost(FailingHost):
    """A host with a background task that fails once, then asks the host to stop."""

    failures = 0

    @background_task
    async def _fail(self):
        self.failures += 1
        if self.failures == 1:
            raise LookupError("unexpected")
        os.kill(os.getpid(), signal.SIGTERM)


async def test_a_host_whose_background_task_fails_restarts_it_and_says_why(monkeypatch):
    """Guards against hosts that go on without their background tasks (FAULT)."""
    host, lines = RecoveringHost(), []
    monkeypatch.setattr(main, "_application", lambda cfg: host)
    sink = logger.add(lines.append, level="ERROR")
    try:
        async with asyncio.timeout(5.0):
            assert await main._run(None, "") == 0
    finally:
        logger.remove(sink)
    assert host.drained
    (failed,) = lines
    assert failed.record["message"] == "background task failed"
    assert failed.record["exception"].type is LookupError
