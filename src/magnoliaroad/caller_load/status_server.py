"""The server of an address for readiness checks or metrics."""

from collections.abc import Awaitable, Callable

from aiohttp import web

# Most connections of such an address. The balancer or the scraper has one or two.
MAX_STATUS_CONNECTIONS = 64
# Part of a body that is held, in bytes. Handlers read none.
BODY_BUFFER_BYTES = 2048
# Idle time after which a connection is closed, in seconds; longer than between the
# checks of balancers and scrapers.
KEEPALIVE_S = 75.0
# Longest time for which a body is discarded before its connection is closed, in
# seconds; a few round trips, after which the caller has the answer.
LINGER_S = 1.0


def status_server(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
) -> web.Server:
    """Returns a server whose requests need no body and are answered at once."""
    return web.Server(
        handler,
        access_log=None,
        keepalive_timeout=KEEPALIVE_S,
        lingering_time=LINGER_S,
        read_bufsize=BODY_BUFFER_BYTES,
    )
