"""Runs child processes of a benchmark."""

import asyncio
import contextlib
import os
import sys
from collections.abc import AsyncIterator


@contextlib.asynccontextmanager
async def spawned(*args: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs ``python ARGS`` with its output piped; kills it when the block ends."""
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env=os.environ | {"PYTHONPATH": "src:."},
    )
    try:
        yield proc
    finally:
        with contextlib.suppress(ProcessLookupError):
            proc.kill()
        await proc.wait()


async def first_line(proc: asyncio.subprocess.Process) -> str:
    """Returns the first line that ``proc`` prints, without whitespace at the ends."""
    assert proc.stdout is not None
    line = await asyncio.wait_for(proc.stdout.readline(), 30)
    return line.decode().strip()
