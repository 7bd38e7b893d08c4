"""A key that was granted to a team."""

import enum
from typing import NamedTuple


class GrantOrigin(enum.StrEnum):
    """How a key was granted."""

    SHEET = "sheet"
    COMMAND = "command"


class KeyGrant(NamedTuple):
    """A granted key, identified by its digest; the key itself is not stored.

    Attributes:
        key_id: Public name of the key, shown in logs and to operators.
        team: Team that the key belongs to.
        digest: SHA-256 of the key, in hexadecimal.
        origin: How the key was granted; applying a sheet replaces keys granted by
            sheets and keeps keys granted by commands.
    """

    key_id: str
    team: str
    digest: str
    origin: GrantOrigin = GrantOrigin.SHEET
