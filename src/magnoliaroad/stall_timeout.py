"""Time limits for a process that may be stopped and continued."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Lateness of a timer, in seconds, that shows that the whole process stood still.
STALL_S = 0.2


@asynccontextmanager
async def stall_timeout(limit_s: float) -> AsyncIterator[None]:
    """Like ``asyncio.timeout``, but starts once more if the process stood still.

    After a stall all timers are due before any bytes that arrived meanwhile are read,
    so a limit would end work that is already done.

    Args:
        limit_s: Time limit in seconds.

    Raises:
        TimeoutError: The limit has passed.
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + limit_s

    def end() -> None:
        stalled = loop.time() - due_at > STALL_S
        timeout.reschedule(loop.time() + (limit_s if stalled else 0.0))

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_at(due_at, end)
        try:
            yield
        finally:
            timer.cancel()
