"""An attempt to run an intent."""

from typing import NamedTuple

from magnoliaroad.once.intent import Intent


class Attempt(NamedTuple):
    """An attempt of one host to run an intent.

    Attributes:
        intent: Call to run.
        attempt_id: Unique id of the attempt.
        host: Host that sends the request to the target.
    """

    intent: Intent
    attempt_id: str
    host: str
