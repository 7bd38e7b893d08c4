"""Refusals of calls that run at most once."""

from magnoliaroad.refusal import Refusal
from magnoliaroad.verdict import Verdict

RETRY_S = 1.0


def key_reused(key: str) -> Refusal:
    """Returns the refusal of a key that was used for another request."""
    return Refusal(
        code="idempotency_key_reused",
        status=422,
        message=f"Idempotency-Key {key!r} was used for another request.",
        action="Use a new key for a new request.",
    )


def in_progress(key: str) -> Refusal:
    """Returns the refusal of a repeat while an attempt is in progress."""
    return Refusal(
        code="in_progress",
        status=409,
        message=f"The request with Idempotency-Key {key!r} is in progress.",
        action="Send the same request again after the retry time.",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_s=RETRY_S,
    )


def may_have_run(key: str) -> Refusal:
    """Returns the refusal of a call whose outcome is unknown."""
    return Refusal(
        code="may_have_run",
        status=409,
        message=f"The request with Idempotency-Key {key!r} may have run.",
        action="Check with the service before sending a new request.",
        verdict=Verdict.MAY_HAVE_RUN,
    )


def answer_not_kept(key: str, digest: str) -> Refusal:
    """Returns the refusal of a call that ran but whose answer was too large."""
    return Refusal(
        code="answer_not_kept",
        status=409,
        message=f"The request with Idempotency-Key {key!r} ran; its answer was too"
        f" large to keep. SHA-256 of the answer: {digest}.",
        action="Read the result from the service.",
        verdict=Verdict.RAN,
    )


def not_recorded(key: str) -> Refusal:
    """Returns the refusal of a call whose intent could not be recorded."""
    return Refusal(
        code="not_recorded",
        status=503,
        message=f"The request with Idempotency-Key {key!r} could not be recorded,"
        " so it was not sent.",
        action="Send the same request again after the retry time.",
        retry_after_s=RETRY_S,
    )
