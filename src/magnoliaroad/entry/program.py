"""HTTP endpoints to start, inspect and end a program."""

from aiohttp import web

from magnoliaroad.entry.admission import identify, unwrap
from magnoliaroad.entry.refused import Refused
from magnoliaroad.entry.services import EntryServices
from magnoliaroad.keys import Caller
from magnoliaroad.refusal import Refusal


class ProgramHandler:
    """Handles ``/v1/programs``."""

    def __init__(self, services: EntryServices) -> None:
        self.services = services

    async def start(self, req: web.Request) -> web.Response:
        """Starts a program that is owned in this data centre and returns its id."""
        caller = self._identify(req)
        program = unwrap(await self.services.programs.start_program(caller.team))
        return web.json_response({"program": program}, status=201)

    async def show(self, req: web.Request) -> web.Response:
        """Returns the state and history of a program."""
        caller = self._identify(req)
        program = req.match_info["program"]
        state = unwrap(await self.services.programs.program_state(program, caller.team))
        return web.json_response(state)

    async def end(self, req: web.Request) -> web.Response:
        """Ends a program and its children."""
        caller = self._identify(req)
        program = req.match_info["program"]
        unwrap(await self.services.programs.end(program, caller.team))
        return web.json_response({"ended": True})

    def _identify(self, req: web.Request) -> Caller:
        caller = identify(self.services, req)
        if not caller.team:
            raise Refused(_key_required())
        return caller


def _key_required() -> Refusal:
    return Refusal(
        code="key_needed",
        status=401,
        message="Programs belong to a team, so they need a key.",
        action="Send a key in the Authorization header.",
    )
