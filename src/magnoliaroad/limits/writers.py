"""Who may change a share table."""

from collections.abc import Iterable

from magnoliaroad.limits.table import Member, ShareTable


class Writers:
    """Works out which members may change the table of a data centre.

    These are the table's editors. An editor that is gone no longer counts; when
    all are gone, all other members count, and without any, everybody. A member
    counts as gone only some time after the times, when a last write of it must
    have reached the store or failed.

    Args:
        me: This process.
        settle_s: That time.
    """

    def __init__(self, me: Member, settle_s: float) -> None:
        self.me = me
        self.settle_s = settle_s
        self._removed_at: dict[str, float] = {}
        self._replaced_at: dict[Member, float] = {}

    def set_removed_hosts(self, now: float, hosts: Iterable[str]) -> None:
        """Sets the hosts that the platform says are no more."""
        self._removed_at = {host: self._removed_at.get(host, now) for host in hosts}

    def record_replacement(self, now: float, member: Member) -> None:
        """Notes that another process answers in the place of ``member``."""
        self._replaced_at.setdefault(member, now)

    def cannot_write(self, member: Member, now: float) -> bool:
        """Whether ``member`` cannot change the table any more."""
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
