"""Errors of requests to targets."""

import aiohttp

from magnoliaroad.verdict import Verdict

# Most characters of what is told of an error: one about bytes that are no answer
# quotes all of them.
MAX_DETAIL_CHARS = 200


def describe_error(exc: BaseException) -> str:
    """Returns what went wrong, without the request's headers."""
    detail = exc.message if isinstance(exc, aiohttp.ClientResponseError) else str(exc)
    return f"{type(exc).__name__}: {detail[:MAX_DETAIL_CHARS]}"


class TargetError(Exception):
    """A request to a target that got no whole answer.

    Attributes:
        verdict: Whether the target may have run the request.
    """

    def __init__(self, text: str, verdict: Verdict) -> None:
        self.verdict = verdict
        super().__init__(text)


class AnswerCut(TargetError):
    """An answer that began and did not end."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.MAY_HAVE_RUN)


class TargetFull(TargetError):
    """A target that says that it did not run the request, mostly for want of room."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.NOT_RUN)


class WrongTarget(TargetError):
    """Another target than expected answers at the address."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.NOT_RUN)
