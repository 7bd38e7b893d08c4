"""Process of the ``faults`` benchmark: a target or a host.

A target prints its base URL and serves until it is killed. A host connects to each
peer through a link that the benchmark can cut.
"""

import asyncio
import collections
import sys

from aiohttp import web

from magnoliaroad.cli import host as host_command
from magnoliaroad.logs import setup_logs
from magnoliaroad.peers import PeerAddress
from magnoliaroad.settings import load_settings
from magnoliaroad.standins.engine_server import EngineServer
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.standins.service_server import ServiceServer

SERVICE_DELAY_S = 0.02


class RecordingEngine(EngineServer):
    """Engine that reports the turns it received and the tokens it used."""

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = super().app()
        app.router.add_get("/standin/turns", self._show_turns)
        app.router.add_get("/standin/tokens", self._show_tokens)
        return app

    async def _show_tokens(self, req: web.Request) -> web.Response:
        used: collections.Counter[str] = collections.Counter()
        for seq in (*self.model.ended.values(), *self.model.running.values()):
            used[seq.job.program] += seq.job.prompt_tokens + seq.generated
        return web.json_response(used)

    async def _show_turns(self, req: web.Request) -> web.Response:
        return web.json_response(
            [_summarize_request(request) for request in self.requests]
        )


def _summarize_request(request: dict) -> dict:
    messages = request["body"]["messages"]
    texts = [m["content"] for m in messages if m["role"] == "user"]
    return {
        "program": request["headers"].get("X-Program-Id", ""),
        "marks": [text.split("]")[0] + "]" for text in texts],
        "roles": "".join(message["role"][0] for message in messages),
    }


async def serve(app: web.Application, address: str, port: int) -> None:
    async with serve_app(app, address, port) as url:
        print(url, flush=True)
        await asyncio.Event().wait()


def link_address(number: int, peer: PeerAddress) -> PeerAddress:
    """Returns the address of the link from host ``number`` to ``peer``."""
    last = peer.address.rsplit(".", 1)[1]
    return peer._replace(address=f"127.1.{number}.{last}")


def run_host(settings: str, number: int) -> None:
    cfg = load_settings(settings)
    setup_logs(cfg.logs)

    class LinkedHost(host_command.HostApplication):
        def __init__(self, cfg) -> None:
            super().__init__(cfg)
            set_addresses = self.peers.set_addresses
            self.peers.set_addresses = lambda known: set_addresses(
                [link_address(number, a) for a in known]
            )

    host_command.HostApplication = LinkedHost
    asyncio.run(host_command.run_host(cfg))


def main() -> None:
    kind, *rest = sys.argv[1:]
    if kind == "host":
        run_host(rest[0], int(rest[1]))
        return
    servers = {"engine": RecordingEngine(), "service": ServiceServer(SERVICE_DELAY_S)}
    asyncio.run(serve(servers[kind].app(), rest[0], int(rest[1])))


if __name__ == "__main__":
    main()
