"""Waits for events up to a limit."""

import asyncio


async def set_within(event: asyncio.Event, limit_s: float) -> bool:
    """Waits until ``event`` is set, ``limit_s`` at most; returns whether it is."""
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
