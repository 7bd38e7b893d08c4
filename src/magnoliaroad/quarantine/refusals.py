"""Refusals of requests that may crash targets."""

from magnoliaroad.refusal import Refusal

# Retry time of a suspect that is refused while another one runs, in seconds.
SUSPECT_RETRY_AFTER_S = 1.0


def quarantined(fingerprint: str, remaining_s: float) -> Refusal:
    """Returns the refusal of a request whose fingerprint is blocked."""
    return Refusal(
        code="quarantined",
        status=422,
        message=f"Requests like this one crashed targets; fingerprint {fingerprint}.",
        action="Change the request, or ask an operator to clear the fingerprint.",
        retry_after_s=remaining_s,
    )


def suspect_waits(fingerprint: str) -> Refusal:
    """Returns the refusal of a suspect request while another one runs."""
    return Refusal(
        code="suspect_waits",
        status=503,
        message="Requests like this one were lost when targets crashed; they run one"
        f" at a time. Fingerprint {fingerprint}.",
        action="Send the request again after the retry time.",
        retry_after_s=SUSPECT_RETRY_AFTER_S,
    )
