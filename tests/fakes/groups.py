"""A single group with a copy on each host and an owner chosen by the test."""

import asyncio
import random

from typing_extensions import override

from magnoliaroad.groups import GroupEntry, Groups, NotCopied, NotOwner, Owner

GROUP = "kolkata-1/0"


class FakeGroupTable:
    """The owner of the group and the records of each host.

    Args:
        seed: Seed of the random append delays.
        append_s: Longest delay of an append, in seconds.

    Attributes:
        fail: Hosts whose next append raises ``NotCopied`` after the entry was
            stored on that host only (``here``) or on all hosts (``kept``).
    """

    def __init__(self, seed: int = 0, append_s: float = 0.0) -> None:
        self.append_s = append_s
        self.random = random.Random(seed)
        self.owner: Owner | None = None
        self.hosts: dict[str, FakeGroups] = {}
        self.fail: dict[str, str] = {}

    def join(self, host: str) -> "FakeGroups":
        """Adds a host; the first one becomes the owner."""
        old = self.hosts.get(host)
        self.hosts[host] = FakeGroups(self, host)
        if old is not None:
            self.hosts[host].records = old.records
        if self.owner is None:
            self.owner = Owner(host, 1)
        return self.hosts[host]

    def take_over(self, host: str) -> None:
        """Makes ``host`` the owner, with the records it has copies of."""
        self.owner = Owner(host, self.owner.fence + 1)
        self.hosts[host].notify_owned()


class FakeGroups(Groups):
    """One host's view of a ``FakeGroupTable``."""

    def __init__(self, table: FakeGroupTable, host: str) -> None:
        self.records: dict[tuple[str, str, int], GroupEntry] = {}
        self._table = table
        self._host = host
        self._listeners = {}

    def notify_owned(self) -> None:
        for kind, listener in self._listeners.items():
            listener(GROUP, self.entries(GROUP, kind))

    @override
    def group_of(self, key, data_centre=""):
        return GROUP

    @override
    def owner_of(self, group):
        return self._table.owner

    @override
    def fence(self, group):
        owner = self._table.owner
        return owner.fence if owner and owner.host == self._host else None

    @override
    async def append(self, entry):
        await asyncio.sleep(self._table.random.uniform(0, self._table.append_s))
        if entry.fence != self.fence(entry.group):
            raise NotOwner(entry.group)
        position = entry.kind, entry.key, entry.sequence
        assert self.records.get(position, entry) == entry, (
            "an immutable record was changed"
        )
        failure = self._table.fail.pop(self._host, None)
        copies = [self] if failure == "here" else self._table.hosts.values()
        for groups in copies:
            groups.records[position] = entry
        if failure:
            raise NotCopied(entry.key)

    @override
    def entries(self, group, kind):
        return [entry for entry in self.records.values() if entry.kind == kind]

    @override
    def delete_records(self, group, kind, key):
        for position in [
            position for position in self.records if position[:2] == (kind, key)
        ]:
            del self.records[position]

    @override
    def on_owned(self, kind, listener):
        self._listeners[kind] = listener
        if self.fence(GROUP) is not None:
            listener(GROUP, self.entries(GROUP, kind))
