"""Errors of requests to targets."""

import aiohttp

from magnoliaroad.verdict import Verdict

# Longest description of an error, in characters: an error about bytes that are not
# HTTP quotes all of them.
MAX_DETAIL_CHARS = 200


class NotHttp(aiohttp.ClientPayloadError):
    """The bytes after the start of a body are not HTTP."""


def describe_error(exc: BaseException) -> str:
    """Returns the class and message of ``exc``, without the request's headers."""
    detail = exc.message if isinstance(exc, aiohttp.ClientResponseError) else str(exc)
    return f"{type(exc).__name__}: {detail[:MAX_DETAIL_CHARS]}"


class TargetError(Exception):
    """A request to a target that got no complete response.

    Attributes:
        verdict: Whether the target may have run the request.
    """

    def __init__(self, text: str, verdict: Verdict) -> None:
        self.verdict = verdict
        super().__init__(text)


class TargetUnreachable(TargetError):
    """No connection to the target could be made."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.NOT_RUN)


class AnswerCut(TargetError):
    """A response that started and ended early or stalled."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.MAY_HAVE_RUN)


class TargetFull(TargetError):
    """The target rejected the request without running it, usually when overloaded."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.NOT_RUN)


class WrongTarget(TargetError):
    """A different target than expected responded at the address."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.NOT_RUN)
