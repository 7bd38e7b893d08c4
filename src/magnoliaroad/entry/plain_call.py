"""One call to a plain service, after its checks."""

import hashlib
from typing import Any, NamedTuple

from aiohttp import web

from magnoliaroad.config import Route, Target
from magnoliaroad.entry.headers import request_headers
from magnoliaroad.entry.request_id import PROGRAM_HEADER, REQUEST_HEADER, new_id
from magnoliaroad.keys import Caller
from magnoliaroad.once import Intent
from magnoliaroad.routing import Job
from magnoliaroad.targets import TargetRequest

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class PlainCall(NamedTuple):
    """What goes to a plain service.

    Attributes:
        request_id: Unique id that the system gives the request.
        caller: Who makes it.
        route: Route that it is for.
        method: HTTP method.
        path: Path and query after the route's name.
        headers: Headers for the target.
        body: Whole body.
        program: Program it belongs to; empty for none.
    """

    request_id: str
    caller: Caller
    route: Route
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    program: str = ""

    @property
    def idempotency_key(self) -> str:
        """The caller's ``Idempotency-Key``; empty without one."""
        return self.headers.get(IDEMPOTENCY_KEY_HEADER, "")

    @property
    def content(self) -> list[Any]:
        """What makes up the call's fingerprint."""
        return [self.method, self.path, self.body.decode(errors="replace")]

    def request_to(self, target: Target) -> TargetRequest:
        """Returns the request as it is sent to ``target``."""
        return TargetRequest(
            method=self.method,
            url=f"{target.url}/{self.path}",
            headers=self.headers | {REQUEST_HEADER: self.request_id},
            body=self.body,
        )

    def job(self, excluded: frozenset[str]) -> Job:
        """Returns what placement needs to know."""
        return Job(
            request_id=self.request_id,
            program=self.program,
            team=self.caller.team,
            route=self.route.name,
            excluded=excluded,
        )

    def intent(self) -> Intent:
        """Returns the intent to run the call at most once."""
        digest = hashlib.sha256(f"{self.method} {self.path}\n".encode() + self.body)
        return Intent(
            team=self.caller.team,
            route=self.route.name,
            key=self.idempotency_key,
            fingerprint=digest.hexdigest(),
            program=self.program,
        )


def make_call(req: web.Request, caller: Caller, route: Route, body: bytes) -> PlainCall:
    """Returns the call that ``req`` asks for."""
    _, _, _, path = req.raw_path.split("/", 3)
    return PlainCall(
        request_id=new_id(),
        caller=caller,
        route=route,
        method=req.method,
        path=path,
        headers=request_headers(req.headers),
        body=body,
        program=req.headers.get(PROGRAM_HEADER, ""),
    )
