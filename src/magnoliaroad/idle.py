"""Detects idle connections of callers."""

from aiohttp.web_protocol import RequestHandler


def awaits_request(conn: RequestHandler) -> bool:
    """Returns whether a connection has no unanswered request.

    aiohttp has no public interface for this. After it has read a request's headers and
    before it calls the handler, its waiter is done and the message is in its queue;
    closing the connection then would lose the request.
    """
    waiter = conn._waiter
    return waiter is not None and not waiter.done() and not conn._messages


def has_queued_request(conn: RequestHandler) -> bool:
    """Returns whether something follows the request that is being read.

    While a request's body is incomplete, only an error of the parser can follow it.
    """
    return bool(conn._messages)
