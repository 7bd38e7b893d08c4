"""Errors of requests to targets."""

from magnoliaroad.verdict import Verdict


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
