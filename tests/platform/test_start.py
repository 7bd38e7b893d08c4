"""The program as a process, from its first line on."""

import asyncio
import signal
import sys

from tests.soak.fleet import ROOT, catches_sigterm


async def test_a_stop_while_modules_are_read_ends_well():
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
