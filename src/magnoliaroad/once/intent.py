"""A call that must not run more than once."""

from typing import NamedTuple
from urllib.parse import quote


class Intent(NamedTuple):
    """A call that runs at most once.

    Attributes:
        team: Team of the caller.
        route: Route of the call.
        key: The caller's ``Idempotency-Key``.
        fingerprint: Digest of method, path and body.
        program: Program that the call belongs to; empty if none.
    """

    team: str
    route: str
    key: str
    fingerprint: str
    program: str = ""

    @property
    def name(self) -> str:
        """Unique name of the call across teams and routes."""
        return "/".join(quote(part, safe="") for part in self[:3])
