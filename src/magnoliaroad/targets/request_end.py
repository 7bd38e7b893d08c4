"""What the end of a request says about the target that had it."""

import enum

import aiohttp

from magnoliaroad.targets.errors import TargetError
from magnoliaroad.verdict import Verdict

# A target that is slow, or that sends bytes which are no answer, is still there.
NON_CRASH_ERRORS = (TimeoutError, aiohttp.ClientResponseError)


class RequestEnd(enum.StrEnum):
    """How a request ended at a target.

    ``LOST`` says that its connection ended, ``UNANSWERED`` that no whole answer came
    after it was sent, ``UNKNOWN`` that it was not sent or not taken.
    """

    WELL = "well"
    LOST = "lost"
    UNANSWERED = "unanswered"
    UNKNOWN = "unknown"


def end_of(exc: TargetError) -> RequestEnd:
    """Returns how a request ended that failed with ``exc``."""
    if exc.verdict is Verdict.NOT_RUN:
        return RequestEnd.UNKNOWN
    cause = exc.__cause__
    connection_failed = isinstance(cause, (aiohttp.ClientError, ConnectionError))
    if connection_failed and not isinstance(cause, NON_CRASH_ERRORS):
        return RequestEnd.LOST
    return RequestEnd.UNANSWERED
