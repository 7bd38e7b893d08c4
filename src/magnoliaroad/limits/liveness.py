"""Tracks which processes of a data centre should be members of its share table."""

from collections.abc import Iterable, Mapping

from magnoliaroad.limits.table import Member


class Liveness:
    """Combines the list of live hosts with the messages received from them.

    Args:
        me: This process.
        absence_s: Seconds without a list entry or a message after which a host
            is removed.
    """

    def __init__(self, me: Member, absence_s: float) -> None:
        self.me = me
        self.absence_s = absence_s
        self._live: set[Member] | None = None
        self._draining: frozenset[str] = frozenset()
        self._last_seen_at: dict[Member, float] = {}
        self._stopped: set[Member] = set()
        self._joining: dict[Member, float] = {}
        self._unlisted: set[Member] = set()

    def set_live(self, live: Mapping[str, str], draining: Iterable[str]) -> None:
        """Sets the incarnations of the live hosts by host name."""
        now_live = {Member(host, number) for host, number in live.items()}
        if self._live is not None:
            self._unlisted = (self._unlisted | self._live) - now_live
        self._live = now_live
        self._draining = frozenset(draining)

    def record_join_request(self, member: Member, now: float) -> None:
        """Records that ``member`` asked for shares; it may not be listed yet."""
        self._joining[member] = now

    def record_message(self, member: Member, now: float) -> None:
        """Records that ``member`` sent a message."""
        self._last_seen_at[member] = now

    def record_stop(self, member: Member) -> None:
        """Records that ``member`` has permanently stopped using its shares."""
        self._stopped.add(member)

    def remaining(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Returns those of ``members`` that have not stopped."""
        return tuple(member for member in members if member not in self._stopped)

    def next_members(
        self, members: tuple[Member, ...], now: float
    ) -> tuple[Member, ...]:
        """Returns the members for the next revision of the table."""
        if self._live is None:
            return self.remaining(members)
        kept = [member for member in members if self._is_alive(member, now)]
        hosts = {member.host for member in kept} | self._draining
        oldest = now - self.absence_s
        joining = {m for m, at in self._joining.items() if at > oldest}
        joining -= self._unlisted
        candidates = {*self._live, *joining, self.me}
        added = sorted(m for m in candidates if m.host not in hosts)
        return self.remaining([*kept, *added])

    def _is_alive(self, member: Member, now: float) -> bool:
        assert self._live is not None
        if member == self.me:
            return True
        if member.host == self.me.host or self._has_successor(member):
            return False
        if member in self._live:
            self._last_seen_at[member] = now
        return now - self._last_seen_at.setdefault(member, now) < self.absence_s

    def _has_successor(self, member: Member) -> bool:
        assert self._live is not None
        return member not in self._live and any(
            other.host == member.host for other in self._live
        )
