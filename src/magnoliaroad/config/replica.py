"""The configuration that a host serves, and the parts it consists of."""

from collections.abc import Iterable
from typing import Any

from magnoliaroad.config.document import Config
from magnoliaroad.config.head import ConfigHead
from magnoliaroad.config.part import digest_part, join_parts, read_part
from magnoliaroad.config.part_ref import PartRef


class ConfigReplica:
    """Holds the newest complete configuration; its revision never decreases.

    Args:
        activation_deferred: Whether installed configurations stay inactive until
            ``activate`` is called.

    Attributes:
        current: The active configuration.
        head: Head of the newest complete configuration.
    """

    def __init__(self, activation_deferred: bool = False) -> None:
        self.current = Config()
        self.head = ConfigHead()
        self.activation_deferred = activation_deferred
        self._data: dict[bytes, bytes] = {}
        self._items: dict[bytes, tuple[str, dict[str, Any]]] = {}

    def add(self, data: bytes) -> None:
        """Adds a packed part for a head that is installed later.

        Raises:
            ValueError: ``data`` is not a part.
        """
        digest = digest_part(data)
        if digest not in self._data:
            self._items[digest] = read_part(data)
            self._data[digest] = data

    def missing(self, head: ConfigHead) -> list[PartRef]:
        """Returns the parts of ``head`` that have not been added."""
        return [ref for ref in head.parts if ref.digest not in self._data]

    def parts(self, digests: Iterable[bytes]) -> list[bytes]:
        """Returns the packed parts with ``digests``, without those that are missing."""
        return [self._data[digest] for digest in digests if digest in self._data]

    def install(self, head: ConfigHead) -> bool:
        """Installs ``head`` if it is newer and complete; returns whether it did."""
        if head.revision <= self.head.revision or self.missing(head):
            return False
        self.head = head
        self._drop_unused()
        if not self.activation_deferred:
            self._update_current()
        return True

    def activate(self) -> bool:
        """Ends deferred activation; returns whether the active revision increased."""
        self.activation_deferred = False
        if self.head.revision <= self.current.revision:
            return False
        self._update_current()
        return True

    def _update_current(self) -> None:
        items = [self._items[ref.digest] for ref in self.head.parts]
        self.current = join_parts(self.head.revision, items)

    def _drop_unused(self) -> None:
        used = {ref.digest for ref in self.head.parts}
        for digest in [d for d in self._data if d not in used]:
            del self._data[digest]
            del self._items[digest]
