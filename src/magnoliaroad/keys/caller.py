"""The caller of a request."""

from typing import NamedTuple


class Caller(NamedTuple):
    """A caller, identified by its key.

    Attributes:
        team: Team of the key; empty for a caller without a key.
        key_id: Public name of the key; empty without one.
        digest: SHA-256 of the key in hexadecimal; empty without one.
    """

    team: str = ""
    key_id: str = ""
    digest: str = ""
