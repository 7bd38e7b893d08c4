"""Runs a host all of whose background tasks fail, from a time after its start on.

Arguments: seconds after the start of each task at which it fails.
"""

import asyncio
import sys

from magnoliaroad_platform.main import main

from tests.platform.failing_tasks import declared_tasks, service_classes


def failing(function, after_s):
    ends_at = None

    async def run(service):
        nonlocal ends_at
        now = asyncio.get_running_loop().time()
        ends_at = ends_at or now + after_s
        async with asyncio.timeout_at(ends_at):
            await function(service)

    run.__name__ = function.__name__
    return run


for kind in service_classes():
    for task in declared_tasks(kind).values():
        task.function = failing(task.function, float(sys.argv[1]))
sys.exit(main())
