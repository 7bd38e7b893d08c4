"""Answers ``explain`` at the metrics address of a host."""

import time
from collections.abc import Callable

from aiohttp import web

from magnoliaroad.explain.explain import HostStatus, explain
from magnoliaroad.explain.explanation import to_document
from magnoliaroad.explain.query import BadQuery, read_query
from magnoliaroad.relay.parts import RelayParts

# Path of the page at the metrics address.
PATH = "/explain"


class ExplainEndpoint:
    """Answers with the explanation as JSON. Logs nothing, so no field gets into logs.

    Args:
        parts: Components of the host.
        status: Returns the state of the host as a whole.
    """

    def __init__(self, parts: RelayParts, status: Callable[[], HostStatus]) -> None:
        self._parts = parts
        self._status = status

    def __call__(self, req: web.BaseRequest) -> web.Response:
        """Returns the answer to a request."""
        if req.method != "GET":
            return web.json_response(
                {"error": "method: only GET"}, status=405, headers={"Allow": "GET"}
            )
        try:
            query = read_query(req.query.items())
            found = explain(self._parts, self._status(), query, time.monotonic())
        except BadQuery as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response(to_document(found))
