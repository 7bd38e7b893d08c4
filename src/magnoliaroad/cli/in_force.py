"""Waits until a revision is in force on the live hosts."""

import asyncio
import time
from collections.abc import Callable

from magnoliaroad.membership.record import HostRecord
from magnoliaroad.operators.fleet import HostState, ask_hosts

POLL_INTERVAL_S = 0.25


async def wait_in_force(
    records: list[HostRecord],
    revision: int,
    limit_s: float,
    progress: Callable[[str], None],
) -> list[HostState]:
    """Polls hosts until each serves ``revision`` or ``limit_s`` has passed.

    Args:
        records: The live hosts.
        revision: Revision to wait for.
        limit_s: Longest wait in seconds; at 0 each host is asked once.
        progress: Called with a line of text when the number of hosts that serve
            the revision changes.

    Returns:
        The last state of each host.
    """
    deadline = time.monotonic() + limit_s
    reported_count = -1
    while True:
        states = await ask_hosts(records)
        count = sum(state.serves(revision) for state in states)
        if count != reported_count:
            progress(f"revision {revision}: {count} of {len(states)} hosts")
            reported_count = count
        if count == len(states) or time.monotonic() >= deadline:
            return states
        await asyncio.sleep(POLL_INTERVAL_S)
