"""Groups of a single host, without copies."""

from typing_extensions import override

from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.interface import Groups, OwnedListener
from magnoliaroad.groups.owner import Owner

ONLY_GROUP = "local/0"
ONLY_FENCE = 1


class LocalGroups(Groups):
    """Owns the only group; for embedded use and for tests."""

    def __init__(self, host: str = "local") -> None:
        self._owner = Owner(host, ONLY_FENCE)
        self._entries: dict[tuple[str, str, int], GroupEntry] = {}

    @override
    def group_of(self, key: str, data_centre: str = "") -> str:
        return ONLY_GROUP

    @override
    def owner_of(self, group: str) -> Owner | None:
        return self._owner

    @override
    def fence(self, group: str) -> int | None:
        return self._owner.fence

    @override
    async def append(self, entry: GroupEntry) -> None:
        self._entries[entry.kind, entry.key, entry.sequence] = entry

    @override
    def entries(self, group: str, kind: str) -> list[GroupEntry]:
        return [entry for entry in self._entries.values() if entry.kind == kind]

    @override
    def delete_records(self, group: str, kind: str, key: str) -> None:
        positions = [
            position for position in self._entries if position[:2] == (kind, key)
        ]
        for position in positions:
            del self._entries[position]

    @override
    def on_owned(self, kind: str, listener: OwnedListener) -> None:
        listener(ONLY_GROUP, self.entries(ONLY_GROUP, kind))
