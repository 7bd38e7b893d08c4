"""The start of the program as a process: signals and garbage collection."""

import asyncio
import gc
import shutil
import signal
import subprocess
import sys

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
