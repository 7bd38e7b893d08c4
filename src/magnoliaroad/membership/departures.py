"""Hosts and targets that are leaving or were removed, by the platform's list."""

from typing import NamedTuple

from magnoliaroad.membership.host_list import ListedState, PlatformList


class Departures(NamedTuple):
    """Names that are not live according to the platform's list.

    Attributes:
        hosts: Hosts that are leaving.
        targets: Targets that are leaving.
        removed_hosts: Hosts that were listed before and are no longer.
    """

    hosts: frozenset[str] = frozenset()
    targets: frozenset[str] = frozenset()
    removed_hosts: frozenset[str] = frozenset()


class DepartureTracker:
    """Derives departures from the platform's list, read here or by a peer.

    Attributes:
        current: Departures according to the newest list.
    """

    def __init__(self) -> None:
        self.current = Departures()
        self._read_at = float("-inf")
        self._seen_hosts: set[str] = set()

    def age_s(self, now: float) -> float:
        """Returns the time since the list was read; infinite if it never was."""
        return now - self._read_at

    def apply_list(self, requested_at: float, answer: PlatformList) -> None:
        """Applies the platform's answer to a request sent at ``requested_at``.

        An empty answer is ignored: it does not mean that all hosts were removed.
        """
        if not answer.hosts and not answer.targets:
            return
        self._seen_hosts |= set(answer.hosts) | self.current.removed_hosts
        self._read_at = max(self._read_at, requested_at)
        self.current = Departures(
            hosts=_leaving_names(answer.hosts),
            targets=_leaving_names(answer.targets),
            removed_hosts=frozenset(self._seen_hosts - set(answer.hosts)),
        )

    def apply_relayed(self, read_at: float, departures: Departures) -> None:
        """Applies departures from a peer unless the list known here is newer.

        Args:
            read_at: Time at which the list was read, or earlier.
            departures: Departures that the peer derived from that list.
        """
        if read_at <= self._read_at:
            return
        self._read_at = read_at
        self._seen_hosts |= departures.removed_hosts
        self.current = departures


def _leaving_names(states: dict[str, ListedState]) -> frozenset[str]:
    return frozenset(n for n, state in states.items() if state == ListedState.LEAVING)
