"""Checks that a request passes before it is assigned to a target."""

from aiohttp import web
from returns.pipeline import is_successful
from returns.result import Result

from magnoliaroad.config import Route, RouteKind
from magnoliaroad.entry.refused import Refused
from magnoliaroad.entry.services import EntryServices
from magnoliaroad.keys import Caller
from magnoliaroad.keys.refusals import NOT_READY
from magnoliaroad.refusal import Refusal

BEARER = "Bearer "


def unwrap(result: Result):
    """Returns the value of ``result`` or raises ``Refused``."""
    if is_successful(result):
        return result.unwrap()
    raise Refused(result.failure())


def identify(services: EntryServices, req: web.Request) -> Caller:
    """Returns the caller that the key in ``req`` belongs to.

    Raises:
        Refused: The key is unknown or withdrawn, or cannot be verified now.
    """
    return unwrap(services.keys.identify(bearer_key(req)))


def bearer_key(req: web.Request) -> str | None:
    """Returns the bearer token in the Authorization header, or ``None``."""
    header = req.headers.get("Authorization")
    return None if header is None else header.removeprefix(BEARER).strip()


def find_route(
    services: EntryServices, caller: Caller, name: str, kind: RouteKind
) -> Route:
    """Returns the route ``name`` if ``caller`` may use it.

    Raises:
        Refused: There is no such route for ``caller``, or this host has no
            configuration yet.
    """
    config = services.config.current
    if not config.revision:
        raise Refused(NOT_READY)
    route = config.routes.get(name)
    if route is None or route.kind != kind or not route.allows(caller.team):
        raise Refused(_no_route(name))
    return route


async def consume_token(services: EntryServices, caller: Caller) -> None:
    """Consumes one token of the team's rate limit, if the caller has a team.

    Raises:
        Refused: The team is over its rate.
    """
    if caller.team:
        unwrap(await services.limits.admit(caller.team))


def _no_route(name: str) -> Refusal:
    return Refusal(
        code="route_unknown",
        status=404,
        message=f"No route {name!r} for this key.",
        action="Check the model or service name, or ask an operator for access.",
    )
