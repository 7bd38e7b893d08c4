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
    """Asks hosts until each has ``revision``, at most ``limit_s``.

    Args:
        records: The live hosts.
        revision: Revision to wait for.
        limit_s: Longest wait; at 0 each host is asked once.
        progress: Is given a line each time the count of hosts changes.
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
