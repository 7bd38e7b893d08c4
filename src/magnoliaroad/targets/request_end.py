"""Classifies how requests to targets end, for crash detection."""

import enum

import aiohttp

from magnoliaroad.targets.errors import NotHttp, TargetError
from magnoliaroad.verdict import Verdict

# A target that is slow, or that sends bytes which are not HTTP, has not crashed.
NON_CRASH_ERRORS = (TimeoutError, aiohttp.ClientResponseError, NotHttp)


class RequestEnd(enum.StrEnum):
    """How a request to a target ended.

    Attributes:
        COMPLETED: A complete response arrived.
        LOST: The connection was lost while the request may have been running.
        UNANSWERED: The request was sent, but no complete response arrived.
        UNKNOWN: The request was not sent, or the target did not accept it.
    """

    COMPLETED = "well"
    LOST = "lost"
    UNANSWERED = "unanswered"
    UNKNOWN = "unknown"


def classify_failure(exc: TargetError) -> RequestEnd:
    """Returns how a request that failed with ``exc`` ended."""
    if exc.verdict is Verdict.NOT_RUN:
        return RequestEnd.UNKNOWN
    cause = exc.__cause__
    connection_failed = isinstance(cause, (aiohttp.ClientError, ConnectionError))
    if connection_failed and not isinstance(cause, NON_CRASH_ERRORS):
        return RequestEnd.LOST
    return RequestEnd.UNANSWERED
