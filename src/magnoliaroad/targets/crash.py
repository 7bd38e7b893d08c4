"""Tells a target that crashed from one that was slow or not reached."""

import aiohttp

from magnoliaroad.targets.errors import TargetError
from magnoliaroad.verdict import Verdict

# A target that is slow, or that sends bytes which are no answer, is still there.
NO_CRASH = (TimeoutError, aiohttp.ClientResponseError)


def looks_crashed(exc: TargetError) -> bool:
    """Returns whether the connection ended while the request was at the target."""
    cause = exc.__cause__
    if exc.verdict is Verdict.NOT_RUN or isinstance(cause, NO_CRASH):
        return False
    return isinstance(cause, (aiohttp.ClientError, ConnectionError))
