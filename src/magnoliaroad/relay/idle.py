"""Tells idle connections of callers from busy ones."""

from aiohttp.web_protocol import RequestHandler


def awaits_request(conn: RequestHandler) -> bool:
    """Returns whether a connection has read no request that is still unanswered.

    aiohttp has no public name for this. Between the moment at which it has read a
    request's head and that at which it calls the handler, its waiter is done and the
    message lies in its queue; closing the connection then would cut the request.
    """
    waiter = conn._waiter
    return waiter is not None and not waiter.done() and not conn._messages
