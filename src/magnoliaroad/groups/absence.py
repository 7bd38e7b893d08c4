"""Decides when a holder is gone for good."""

from collections.abc import Mapping

from magnoliaroad.groups.member import Member, member_of
from magnoliaroad.membership import HostRecord


class AbsenceTracker:
    """Follows which members the store's list of hosts no longer has.

    A member whose host is listed with another incarnation has ended. One that
    is not listed may be cut off, and is given up only after a long time.
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
        """Returns whether ``member`` is gone for good.

        Args:
            member: A holder.
            hosts: Listed hosts, by name.
            now: Time in seconds.
            limit_s: Time without a listing that proves it; ``None`` for none.
        """
        record = hosts.get(member.host)
        if record is not None:
            self._unlisted_since.pop(member, None)
            return member_of(record) != member
        since = self._unlisted_since.setdefault(member, now)
        return limit_s is not None and now - since >= limit_s
