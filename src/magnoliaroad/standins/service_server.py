"""HTTP stand-in for a plain service that counts the calls it ran."""

import asyncio
import collections

from aiohttp import web


class ServiceServer:
    """Runs every call that arrives and counts the runs by idempotency key.

    Args:
        delay_s: Duration of a run in seconds; ``?delay_s=`` in a call overrides it.
    """

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.runs: collections.Counter[str] = collections.Counter()
        self.headers: list[dict[str, str]] = []

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application()
        app.router.add_get("/standin/runs", self._show_runs)
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def _run(self, req: web.Request) -> web.Response:
        key = req.headers.get("Idempotency-Key", "")
        self.headers.append(dict(req.headers))
        self.runs[key] += 1
        delay_s = float(req.query.get("delay_s", self.delay_s))
        if delay_s:
            await asyncio.sleep(delay_s)
        body = await req.text()
        return web.json_response(
            {"run": sum(self.runs.values()), "path": req.path, "received": body}
        )

    async def _show_runs(self, req: web.Request) -> web.Response:
        return web.json_response(self.runs)
