"""The data centres whose targets get no further requests."""

from collections.abc import Collection, Iterable, Set
from typing import NamedTuple

# Revision of orders that stem from no state of the store.
UNKNOWN_REVISION = -1


class EvacuationChange(NamedTuple):
    """Difference between the orders before and after some news.

    Attributes:
        ordered: Data centres that are to be evacuated from now on.
        withdrawn: Data centres that may be used again.
    """

    ordered: frozenset[str] = frozenset()
    withdrawn: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.ordered or self.withdrawn)


class EvacuationOrders:
    """The newest orders that this host knows, from the store or from a peer.

    Orders are kept as a whole, with the store's revision. Of two sets, the one with the
    higher revision holds, so that a withdrawal that was missed is caught up like an
    order.

    Attributes:
        revision: Revision of the store that the orders stem from.
    """

    def __init__(self) -> None:
        self.revision = UNKNOWN_REVISION
        self._ordered_at: dict[str, float] = {}

    def __contains__(self, data_centre: str) -> bool:
        return data_centre in self._ordered_at

    def __bool__(self) -> bool:
        return bool(self._ordered_at)

    @property
    def names(self) -> Set[str]:
        """The data centres to evacuate, for many lookups at once."""
        return self._ordered_at.keys()

    @property
    def data_centres(self) -> list[str]:
        """The data centres to evacuate, in alphabetical order."""
        return sorted(self._ordered_at)

    def age_s(self, data_centre: str, now: float) -> float:
        """Returns the time for which this host has known an order, in seconds."""
        return now - self._ordered_at[data_centre]

    def apply_snapshot(
        self, now: float, data_centres: Collection[str], revision: int
    ) -> EvacuationChange:
        """Applies a complete list of orders, unless a newer one is known."""
        if revision < self.revision:
            return EvacuationChange()
        return self._replace(now, data_centres, revision)

    def apply_batch(
        self,
        now: float,
        ordered: Iterable[str],
        withdrawn: Iterable[str],
        revision: int,
    ) -> EvacuationChange:
        """Applies changes that the store has reported up to ``revision``."""
        if revision < self.revision:
            return EvacuationChange()
        names = (self._ordered_at.keys() | set(ordered)) - set(withdrawn)
        return self._replace(now, names, revision)

    def merge(
        self, now: float, data_centres: Collection[str], revision: int
    ) -> EvacuationChange:
        """Applies the orders of a peer if they are newer."""
        if revision <= self.revision:
            return EvacuationChange()
        return self._replace(now, data_centres, revision)

    def _replace(
        self, now: float, data_centres: Collection[str], revision: int
    ) -> EvacuationChange:
        known = self._ordered_at
        names = frozenset(data_centres)
        change = EvacuationChange(names - known.keys(), known.keys() - names)
        self.revision = revision
        self._ordered_at = {name: known.get(name, now) for name in sorted(names)}
        return change
