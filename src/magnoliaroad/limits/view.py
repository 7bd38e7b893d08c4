"""A host's view of the share tables and the fractions it may use."""

from collections.abc import Collection
from typing import NamedTuple

from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.limits.step import Segment, Step, timeline
from magnoliaroad.limits.table import Member, ShareTable, TableRevision

MAX_HISTORY_ENTRIES = 16
MAX_OUTDATED_HOSTS = 8


class HistoryEntry(NamedTuple):
    """A table revision and when this host learned of it; ``None`` for a gap."""

    learned_at: float
    table_revision: TableRevision | None


class LenderShare(NamedTuple):
    """Another host that holds a fraction of a team's rate and burst."""

    host: str
    fraction: float
    is_local: bool


class ShareView:
    """The tables of all data centres and the history of this data centre's table.

    Args:
        cfg: Settings of the limits.
        me: This process.
        data_centre: Its data centre.

    Attributes:
        tables: The newest known table of each data centre.
        version: Increases whenever the results of ``timeline`` or ``lenders`` may
            have changed.
        is_founder: Whether this host created the first table and its history since
            is complete.
    """

    def __init__(self, cfg: LimitSettings, me: Member, data_centre: str) -> None:
        self.cfg = cfg
        self.me = me
        self.data_centre = data_centre
        self.tables: dict[str, ShareTable] = {}
        self.version = 0
        self.is_founder = False
        self._history: list[HistoryEntry] = []
        self._known_revisions: dict[Member, int] = {}
        self._known_to_all_at: dict[int, float] = {}
        self._timelines: dict[str, list[Segment]] = {}
        self._lenders: dict[str, tuple[LenderShare, ...]] = {}

    @property
    def own_table(self) -> ShareTable | None:
        """The table of this host's data centre."""
        return self.tables.get(self.data_centre)

    @property
    def revision(self) -> int:
        """Revision of the own table; 0 when none is known."""
        return self.own_table.revision if self.own_table else 0

    def adopt_first(self, now: float, table: ShareTable) -> None:
        """Adopts the first table of all, which this host has created."""
        self.is_founder = True
        self.adopt(now, table)

    def adopt(self, now: float, table: ShareTable) -> bool:
        """Adopts ``table`` if it is newer than the known one; returns whether it is."""
        known = self.tables.get(table.data_centre)
        if known is not None and known.revision >= table.revision:
            return False
        if table.data_centre == self.data_centre:
            self._extend_history(now, table)
        self.tables[table.data_centre] = table
        self.version += 1
        self._timelines.clear()
        self._lenders.clear()
        return True

    def record_known_revision(self, now: float, member: Member, revision: int) -> None:
        """Records that ``member`` knows ``revision`` of the own table."""
        if revision > self._known_revisions.get(member, 0):
            self._known_revisions[member] = revision
            self._check_known_to_all(now)

    def possibly_outdated(self, now: float) -> list[str]:
        """Returns hosts that may not know the own table yet and so delay a gain."""
        own = self.own_table
        if own is None or own.revision in self._known_to_all_at:
            return []
        if now > self._history[-1].learned_at + self.cfg.gain_delay_s:
            return []
        members = own.past_and_present_members() or set()
        return sorted({m.host for m in members - {self.me}})[:MAX_OUTDATED_HOSTS]

    def timeline(self, team: str) -> list[Segment]:
        """Returns the fractions of ``team`` that this host may use over time."""
        if not self._history:
            return []
        if team not in self._timelines:
            steps = [self._step(entry, team) for entry in self._history]
            self._timelines[team] = timeline(
                steps, self.cfg.gain_delay_s, self.is_founder
            )
        return self._timelines[team]

    def fraction(self, team: str, now: float) -> float:
        """Returns the fraction of ``team`` that this host may use at ``now``."""
        past = [s.fraction for s in self.timeline(team) if s.start <= now]
        return past[-1] if past else 0.0

    def lenders(self, team: str) -> tuple[LenderShare, ...]:
        """Returns the other holders of ``team``, those of this data centre first."""
        if team not in self._lenders:
            self._lenders[team] = tuple(
                sorted(self._find_lenders(team), key=_lender_order)
            )
        return self._lenders[team]

    def evict_other_teams(self, teams: Collection[str]) -> None:
        """Drops the cached results of all teams but ``teams``."""
        for cache in (self._timelines, self._lenders):
            for team in [name for name in cache if name not in teams]:
                del cache[team]

    def _extend_history(self, now: float, table: ShareTable) -> None:
        revisions = (
            table.revisions_since(self.revision) if self._history else [table.current]
        )
        if revisions is None:
            self._history.append(HistoryEntry(now, None))
            revisions = [table.current]
        self._history += [HistoryEntry(now, revision) for revision in revisions]
        if len(self._history) > MAX_HISTORY_ENTRIES:
            self._history = self._history[-MAX_HISTORY_ENTRIES:]
            self.is_founder = False

    def _check_known_to_all(self, now: float) -> None:
        own = self.own_table
        if own is None or own.revision in self._known_to_all_at:
            return
        members = own.past_and_present_members()
        if members is None or not self._history:
            return
        if all(
            self._known_revisions.get(m, 0) >= own.revision for m in members - {self.me}
        ):
            loan_s = self.cfg.loan_s * (1 + 2 * self.cfg.drift)
            self._known_to_all_at = {own.revision: now + loan_s}
            self.version += 1
            self._timelines.clear()

    def _step(self, entry: HistoryEntry, team: str) -> Step:
        if entry.table_revision is None:
            return Step(entry.learned_at, 0.0)
        fraction = entry.table_revision.fraction(team, self.me)
        known_at = self._known_to_all_at.get(
            entry.table_revision.revision, float("inf")
        )
        return Step(entry.learned_at, fraction, entry.table_revision.stopped, known_at)

    def _find_lenders(self, team: str) -> list[LenderShare]:
        return [
            LenderShare(host, fraction, name == self.data_centre)
            for name, table in self.tables.items()
            for host, fraction in table.current.fractions(team).items()
            if host != self.me.host
        ]


def _lender_order(lender: LenderShare) -> tuple[bool, str]:
    return not lender.is_local, lender.host
