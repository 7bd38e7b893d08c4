"""``magnoliaroad standin``: runs a stand-in as a process of its own."""

import asyncio

from aiohttp import web
from cleo.commands.command import Command
from cleo.helpers import argument, option

from magnoliaroad.standins.engine_server import EngineServer
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.standins.service_server import ServiceServer

STANDINS = {"store": KvServer, "engine": EngineServer, "service": ServiceServer}


class StandinCommand(Command):
    """Runs a stand-in until it is interrupted."""

    name = "standin"
    description = "Run a stand-in for the platform or a target."
    arguments = [argument("kind", f"One of {', '.join(STANDINS)}.")]
    options = [
        option("address", None, "IP address.", flag=False, default="127.0.0.1"),
        option("port", None, "TCP port.", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Runs the stand-in; returns 2 if there is none of that kind."""
        kind = self.argument("kind")
        if kind not in STANDINS:
            self.line_error(f"no stand-in {kind!r}; choose {', '.join(STANDINS)}")
            return 2
        asyncio.run(self._run(STANDINS[kind]().app()))
        return 0

    async def _run(self, app: web.Application) -> None:
        port = int(self.option("port"))
        async with serve_app(app, self.option("address"), port) as url:
            self.line(url)
            await asyncio.Event().wait()
