"""Interface of groups to the other packages."""

import abc
from collections.abc import Callable

from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.owner import Owner

OwnedListener = Callable[[str, list[GroupEntry]], None]


class Groups(abc.ABC):
    """Finds the owner of a key and stores records that survive the owner."""

    @abc.abstractmethod
    def group_of(self, key: str, data_centre: str = "") -> str:
        """Returns the group of ``key``.

        Args:
            key: Any name.
            data_centre: Data centre whose hosts are to own the group. If
                empty, the key alone decides, with the same result on every
                host.
        """

    @abc.abstractmethod
    def owner_of(self, group: str) -> Owner | None:
        """Returns the owner that this host knows, or ``None``."""

    @abc.abstractmethod
    def fence(self, group: str) -> int | None:
        """Returns the fencing token if this host may act as owner, else ``None``."""

    @abc.abstractmethod
    async def append(self, entry: GroupEntry) -> None:
        """Stores ``entry`` here and on the group's other holders.

        Returns once the entry survives the loss of any single host.

        Raises:
            NotOwner: This host may not act as owner; nothing was stored.
            NotCopied: Too few copies confirmed the entry, so it may be lost
                with this host.
        """

    @abc.abstractmethod
    def entries(self, group: str, kind: str) -> list[GroupEntry]:
        """Returns the records of ``group`` on this host."""

    def body(self, group: str, kind: str, key: str, sequence: int) -> bytes:
        """Returns the body of a record on this host.

        Raises:
            KeyError: This host does not have the record.
        """
        for entry in self.entries(group, kind):
            if (entry.key, entry.sequence) == (key, sequence):
                return entry.body
        raise KeyError((group, kind, key, sequence))

    @abc.abstractmethod
    def delete_records(self, group: str, kind: str, key: str) -> None:
        """Deletes the records of ``key`` here and asks the copies to do so."""

    def has_capacity(self) -> bool:
        """Whether this host has capacity for the records of new keys."""
        return True

    @abc.abstractmethod
    def on_owned(self, kind: str, listener: OwnedListener) -> None:
        """Calls ``listener`` with the records of each group this host owns or gains."""
