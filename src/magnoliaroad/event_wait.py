"""Waiting for events with a time limit."""

import asyncio


async def wait_for_event(event: asyncio.Event, limit_s: float) -> bool:
    """Waits at most ``limit_s`` for ``event``; returns whether it was set in time."""
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
