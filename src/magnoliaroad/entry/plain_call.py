"""A validated call to a plain service."""

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
    """A call to a plain service.

    Attributes:
        request_id: Unique id that the system gives the request.
        caller: Caller that sent the request.
        route: Route that the caller requested.
        method: HTTP method.
        path: Path and query after the route's name.
        headers: Headers that are forwarded to the target.
        body: The complete body.
        program: Id of the program that the call belongs to; empty for none.
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
        """Parts of the call that its quarantine fingerprint is computed from."""
        return [self.method, self.path, self.body.decode(errors="replace")]

    def request_to(self, target: Target) -> TargetRequest:
        """Returns the request to send to ``target``."""
        return TargetRequest(
            method=self.method,
            url=f"{target.url}/{self.path}",
            headers=self.headers | {REQUEST_HEADER: self.request_id},
            body=self.body,
        )

    def job(self, excluded: frozenset[str]) -> Job:
        """Returns the job for placement, which avoids the targets in ``excluded``."""
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
    """Returns the call for ``req``."""
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
