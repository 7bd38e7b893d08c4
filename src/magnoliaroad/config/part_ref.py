"""References to parts of the configuration in the store."""

from typing import NamedTuple

PARTS_PREFIX = "config/parts/"


class PartRef(NamedTuple):
    """Identifies a part by its content and by the revision it was written after.

    A part that was written after revision ``base`` can only be added to the
    configuration by the next revision. If a head later than ``base`` does not
    reference the part, no later head will, and the part may be deleted.

    Attributes:
        digest: Digest of the part's content, 16 bytes.
        base: Revision that was accepted when the part was written.
    """

    digest: bytes
    base: int

    @property
    def key(self) -> str:
        """Store key of the part."""
        return f"{PARTS_PREFIX}{self.base:012d}-{self.digest.hex()}"


def parse_part_key(key: str) -> PartRef:
    """Returns the reference whose key is ``key``.

    Raises:
        ValueError: ``key`` is not the store key of a part.
    """
    base, _, digest = key.removeprefix(PARTS_PREFIX).partition("-")
    return PartRef(bytes.fromhex(digest), int(base))
