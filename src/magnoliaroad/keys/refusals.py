"""Refusals of requests because of their key."""

from magnoliaroad.refusal import Refusal

UNKNOWN_KEY = Refusal(
    code="key_unknown",
    status=401,
    message="The key is not known or was withdrawn.",
    action="Ask an operator for a key and send it as a bearer token.",
)

NOT_READY = Refusal(
    code="not_ready",
    status=503,
    message="This host has no configuration yet.",
    action="Send the request again after the retry time.",
    retry_after_s=1.0,
)

UNVERIFIED_KEY = Refusal(
    code="key_unverified",
    status=503,
    message="This data centre has been cut off too long to know which keys are good.",
    action="Use another data centre, or send the request again later.",
    retry_after_s=30.0,
)
