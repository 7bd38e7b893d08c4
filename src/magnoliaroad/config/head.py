"""The head of the configuration: its revision and references to its parts."""

from typing import NamedTuple

import msgpack

from magnoliaroad.config.change import Change
from magnoliaroad.config.part_ref import PartRef
from magnoliaroad.decoding import Undecodable, unpack

HEAD_KEY = "config/head"


class ConfigHead(NamedTuple):
    """The entry whose compare-and-swap in the store accepts a configuration.

    Attributes:
        revision: Increases with each accepted change; 0 is the empty configuration.
        parts: References to the parts of the configuration.
        changes: The last ``MAX_CHANGES`` changes, oldest first.
    """

    revision: int = 0
    parts: tuple[PartRef, ...] = ()
    changes: tuple[Change, ...] = ()

    @property
    def operation(self) -> str:
        """Id of the command that created this revision."""
        return self.changes[-1].operation if self.changes else ""

    def has_operation(self, operation: str) -> bool:
        """Whether the command ``operation`` is among the recorded changes."""
        return any(change.operation == operation for change in self.changes)


def pack_head(head: ConfigHead) -> bytes:
    """Returns ``head`` as msgpack."""
    return msgpack.packb(head)


def unpack_head(data: bytes) -> ConfigHead:
    """Returns the head in ``data``.

    Raises:
        ValueError: ``data`` is not a head.
    """
    try:
        return unpack(data, ConfigHead)
    except Undecodable as exc:
        raise ValueError(f"not a configuration head: {exc}") from exc
