"""Determines which members may change a share table."""

from collections.abc import Iterable

from magnoliaroad.limits.table import Member, ShareTable


class Writers:
    """Determines the writers of a data centre's table.

    These are the table's editors that have not been removed or replaced. If none
    is left, all other remaining members are writers; if no member is left, every
    process is. A member is excluded only ``settle_s`` after its removal was
    learned of, because its last write must by then have reached the store or
    failed.

    Args:
        me: This process.
        settle_s: Seconds after which a removed member can no longer write.
    """

    def __init__(self, me: Member, settle_s: float) -> None:
        self.me = me
        self.settle_s = settle_s
        self._removed_at: dict[str, float] = {}
        self._replaced_at: dict[Member, float] = {}

    def set_removed_hosts(self, now: float, hosts: Iterable[str]) -> None:
        """Sets the hosts that the platform reports as removed."""
        self._removed_at = {host: self._removed_at.get(host, now) for host in hosts}

    def record_replacement(self, now: float, member: Member) -> None:
        """Records that another process answers in place of ``member``."""
        self._replaced_at.setdefault(member, now)

    def cannot_write(self, member: Member, now: float) -> bool:
        """Whether ``member`` can no longer change the table."""
        if member.host == self.me.host:
            return member != self.me
        times = (self._removed_at.get(member.host), self._replaced_at.get(member))
        return any(at is not None and now >= at + self.settle_s for at in times)

    def of_table(self, table: ShareTable | None, now: float) -> list[Member]:
        """Returns the members that may change ``table``."""
        if table is None:
            return []
        current = table.current
        editors = [m for m in current.editors if not self.cannot_write(m, now)]
        return editors or [m for m in current.members if not self.cannot_write(m, now)]

    def other_hosts(self, table: ShareTable | None, now: float) -> list[str]:
        """Returns the names of the writers other than this process."""
        return [
            member.host for member in self.of_table(table, now) if member != self.me
        ]

    def includes_me(self, table: ShareTable | None, now: float) -> bool:
        """Whether this process may change ``table``."""
        writers = self.of_table(table, now)
        return self.me in writers or (table is not None and not writers)
