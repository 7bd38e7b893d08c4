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
    gone: frozenset[str] = frozenset()


class DepartureTracker:
    """Derives departures from the platform's list, read here or by a peer.

    Attributes:
        current: Departures according to the newest list.
    """

    def __init__(self) -> None:
        self.current = Departures()
        self._read_at = float("-inf")
        self._seen: set[str] = set()

    def age_s(self, now: float) -> float:
        """Returns the time since the list was read; infinite if it never was."""
        return now - self._read_at

    def take_list(self, asked_at: float, answer: PlatformList) -> None:
        """Applies the platform's answer to a request sent at ``asked_at``.

        An empty answer is ignored: it does not mean that all hosts were removed.
        """
        if not answer.hosts and not answer.targets:
            return
        self._seen |= set(answer.hosts) | self.current.gone
        self._read_at = max(self._read_at, asked_at)
        self.current = Departures(
            hosts=_leaving(answer.hosts),
            targets=_leaving(answer.targets),
            gone=frozenset(self._seen - set(answer.hosts)),
        )

    def take_relayed(self, asked_at: float, departures: Departures) -> None:
        """Applies departures from a peer unless the list known here is newer.

        Args:
            asked_at: Time at which the list was read, or earlier.
            departures: Departures that the peer derived from that list.
        """
        if asked_at <= self._read_at:
            return
        self._read_at = asked_at
        self._seen |= departures.gone
        self.current = departures


def _leaving(states: dict[str, ListedState]) -> frozenset[str]:
    return frozenset(n for n, state in states.items() if state == ListedState.LEAVING)
