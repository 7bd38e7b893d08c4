"""A host as a process, one service of which cannot start while a file exists.

Usage: ``python -m tests.platform.blocked_host FILE``; the service has the file's name.
"""

import pathlib
import runpy
import sys

from magnoliaroad.records.service import RecordService
from magnoliaroad.relay.escrow_service import EscrowService
from tests.soak.fleet import HOST_PROGRAM

SERVICES = {"records": RecordService, "escrow": EscrowService}


def block(service, path):
    """Lets the start of ``service`` fail while there is a file at ``path``."""
    start = service.on_start

    async def on_start(self):
        if path.exists():
            raise FileExistsError(path)
        await start(self)

    service.on_start = on_start


if __name__ == "__main__":
    in_the_way = pathlib.Path(sys.argv[1])
    block(SERVICES[in_the_way.name], in_the_way)
    runpy.run_path(str(HOST_PROGRAM), run_name="__main__")
