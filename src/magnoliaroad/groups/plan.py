"""Plans the owners and copies of the groups of a data centre."""

import collections
import math
from collections.abc import Iterable

from magnoliaroad.groups.member import Member, member_of
from magnoliaroad.groups.settings import GroupSettings
from magnoliaroad.groups.table import FLEET, GroupTable, group_name
from magnoliaroad.groups.view import GroupView
from magnoliaroad.membership import HostRecord
from magnoliaroad.rendezvous import rendezvous


class TablePlanner:
    """Plans the next table of ``domain`` from the available hosts.

    Args:
        domain: Data centre, or ``FLEET``.
        hosts: Records of all hosts that are alive.
        cfg: Settings of groups.
    """

    def __init__(
        self, domain: str, hosts: Iterable[HostRecord], cfg: GroupSettings
    ) -> None:
        self.domain = domain
        self.cfg = cfg
        self._records = {r.host: r for r in hosts if not r.draining}
        self._eligible_owners = sorted(
            name
            for name, record in self._records.items()
            if domain in (FLEET, record.data_centre)
        )

    def next_table(self, table: GroupTable) -> GroupTable:
        """Returns the table to write, or ``table`` itself if nothing has to change."""
        if not self._eligible_owners:
            return table
        loads = collections.Counter(
            view.owner.host for view in table.views if self._is_available(view.owner)
        )
        views = []
        for number in range(len(table.views) or self.cfg.group_count):
            old = table.views[number] if table.views else None
            views.append(self._next_view(number, old, loads))
        if table.views and tuple(views) == table.views:
            return self._rebalanced(table, loads)
        return table._replace(views=tuple(views))

    def _next_view(
        self, number: int, old: GroupView | None, loads: collections.Counter[str]
    ) -> GroupView:
        holders = old.holders if old else ()
        if old and self._is_eligible_owner(old.owner):
            owner = old.owner
        else:
            owner = self._new_owner(number, holders, loads)
            loads[owner.host] += 1
        new_holders = self._choose_holders(number, owner, holders)
        if old is None:
            return GroupView(1, new_holders)
        return old if new_holders == old.holders else old.succeeded_by(new_holders)

    def _new_owner(
        self, number: int, holders: tuple[Member, ...], loads: collections.Counter[str]
    ) -> Member:
        """Returns the new owner: a holder or ranked host that owns few enough groups.

        If all are at the limit, the least loaded host.
        """
        count = self.cfg.group_count
        max_owned = math.ceil(count / len(self._eligible_owners))
        ranked = rendezvous(group_name(self.domain, number), self._eligible_owners)
        holder_hosts = [m.host for m in holders if self._is_eligible_owner(m)]
        for name in [*holder_hosts, *ranked]:
            if loads[name] < max_owned:
                return self._member(name)
        return self._member(min(ranked, key=lambda name: loads[name]))

    def _choose_holders(
        self, number: int, owner: Member, holders: tuple[Member, ...]
    ) -> tuple[Member, ...]:
        """Returns ``owner`` and its copies; keeps available copies."""
        candidates = self._candidates(owner)
        copy_count = min(self.cfg.copies, len(candidates))
        copies = [m for m in holders if m != owner and self._is_available(m)]
        copies = [m for m in copies if m.host in candidates][:copy_count]
        if len(copies) == copy_count:
            return (owner, *copies)
        copy_hosts = {member.host for member in copies}
        for name in self._ranked_candidates(number, owner, copy_hosts):
            if len(copies) >= copy_count:
                break
            copies.append(self._member(name))
        return (owner, *copies)

    def _candidates(self, owner: Member) -> list[str]:
        """Returns the hosts that may hold copies, preferring the data centre's own."""
        local = [name for name in self._eligible_owners if name != owner.host]
        return local or [name for name in self._records if name != owner.host]

    def _ranked_candidates(
        self, number: int, owner: Member, copy_hosts: set[str]
    ) -> list[str]:
        key = group_name(self.domain, number)
        ranked = [
            n for n in rendezvous(key, self._candidates(owner)) if n not in copy_hosts
        ]
        if self.domain != FLEET:
            return ranked
        used_data_centres = {
            self._records[n].data_centre for n in (*copy_hosts, owner.host)
        }
        return sorted(
            ranked, key=lambda n: self._records[n].data_centre in used_data_centres
        )

    def _rebalanced(
        self, table: GroupTable, loads: collections.Counter[str]
    ) -> GroupTable:
        """Moves a few groups from the most loaded to the least loaded hosts."""
        if not all(view.active for view in table.views):
            return table
        max_owned = math.ceil(len(table.views) / len(self._eligible_owners))
        for _ in range(self.cfg.moves_per_plan):
            least = min(self._eligible_owners, key=lambda name: loads[name])
            most = max(self._eligible_owners, key=lambda name: loads[name])
            if loads[most] <= max_owned or loads[least] >= loads[most] - 1:
                break
            table = self._with_group_moved(table, most, least)
            loads[most] -= 1
            loads[least] += 1
        return table

    def _with_group_moved(
        self, table: GroupTable, from_host: str, to_host: str
    ) -> GroupTable:
        numbers = [
            number
            for number, view in enumerate(table.views)
            if view.active and view.owner.host == from_host
        ]
        new_owner = self._member(to_host)
        number = max(numbers, key=lambda n: new_owner in table.views[n].holders)
        view = table.views[number]
        new_holders = self._choose_holders(number, new_owner, view.holders)
        return table.with_view(number, view.succeeded_by(new_holders))

    def _member(self, name: str) -> Member:
        return member_of(self._records[name])

    def _is_available(self, member: Member) -> bool:
        record = self._records.get(member.host)
        return record is not None and member_of(record) == member

    def _is_eligible_owner(self, member: Member) -> bool:
        return member.host in self._eligible_owners and self._is_available(member)
