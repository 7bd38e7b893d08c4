"""The answer to a request that the system refuses."""

from typing import NamedTuple

from magnoliaroad.verdict import Verdict


class Refusal(NamedTuple):
    """Why a request was refused and what the caller should do.

    Attributes:
        code: Stable identifier that callers may match on.
        status: HTTP status code.
        message: What happened, in a readable sentence.
        action: What the caller should do next.
        verdict: Whether the target may have run the request.
        retry_after_s: Seconds until a retry may succeed; ``None`` when no retry can.
    """

    code: str
    status: int
    message: str
    action: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_s: float | None = None


class Refused(Exception):
    """Raised to end the handling of a request with a refusal.

    Attributes:
        refusal: The answer to the caller.
        inputs: Values that led to the refusal, for the log.
    """

    def __init__(self, refusal: Refusal, **inputs: object) -> None:
        self.refusal = refusal
        self.inputs = inputs
        super().__init__(refusal.message)
