"""Decides when a holder is permanently lost."""

from collections.abc import Mapping

from magnoliaroad.groups.member import Member, member_of
from magnoliaroad.membership import HostRecord


class AbsenceTracker:
    """Tracks how long members have been missing from the store's list of hosts.

    A member whose host is listed with another incarnation has ended. A member
    that is not listed may only be partitioned from the store, so it counts as
    lost only after a long time.
    """

    def __init__(self) -> None:
        self._unlisted_since: dict[Member, float] = {}

    def is_lost(
        self,
        member: Member,
        hosts: Mapping[str, HostRecord],
        now: float,
        limit_s: float | None,
    ) -> bool:
        """Returns whether ``member`` and its records are permanently lost.

        Args:
            member: A holder.
            hosts: Listed hosts, by name.
            now: Time in seconds.
            limit_s: Time without a listing after which an unlisted member
                counts as lost; ``None`` if it never does.
        """
        record = hosts.get(member.host)
        if record is not None:
            self._unlisted_since.pop(member, None)
            return member_of(record) != member
        since = self._unlisted_since.setdefault(member, now)
        return limit_s is not None and now - since >= limit_s
