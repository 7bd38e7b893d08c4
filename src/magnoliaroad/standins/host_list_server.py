"""HTTP stand-in for the platform's list of live and leaving hosts and targets."""

import asyncio
import time

import msgspec
from aiohttp import web

from magnoliaroad.membership.host_list import ListedState, PlatformList


class HostListServer:
    """Serves the list as it was ``lag_s`` ago and counts the reads."""

    def __init__(self, lag_s: float = 0.0) -> None:
        self.lag_s = lag_s
        self.reads = 0
        self.down = False
        self._history: list[tuple[float, PlatformList]] = [
            (float("-inf"), PlatformList())
        ]

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application()
        app.router.add_get("/list", self._serve_list)
        app.router.add_post("/standin/state", self._set_state)
        return app

    def set_state(self, kind: str, name: str, state: ListedState | None) -> None:
        """Sets the state of ``name``, or removes it from the list.

        Args:
            kind: ``hosts`` or ``targets``.
            name: Name of the host or target.
            state: State to list it with; ``None`` removes it.
        """
        newest = self._history[-1][1]
        names = {n: s for n, s in getattr(newest, kind).items() if n != name}
        if state is not None:
            names[name] = state
        changed = newest._replace(**{kind: names})
        self._history.append((time.monotonic(), changed))

    async def _set_state(self, req: web.Request) -> web.Response:
        body = await req.json()
        state = ListedState(body["state"]) if body.get("state") else None
        self.set_state(body["kind"], body["name"], state)
        return web.json_response({})

    async def _serve_list(self, req: web.Request) -> web.Response:
        self.reads += 1
        if self.down:
            await asyncio.sleep(60.0)
        limit = time.monotonic() - self.lag_s
        listed = [answer for at, answer in self._history if at <= limit]
        body = msgspec.to_builtins(listed[-1]._asdict())
        return web.json_response(body)
