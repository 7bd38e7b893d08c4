"""What targets state of their load, with its age."""

from collections.abc import Container
from typing import NamedTuple

from magnoliaroad.relay.dialect import TargetLoad
from magnoliaroad.relay.target import RelayTarget, TargetStart, start_of

# Age up to which a stated load says more than the counts of the hosts, in seconds; the
# counts of other data centres are about as old.
LOAD_LIFETIME_S = 0.3
# Age up to which a stated slowdown applies, in seconds; it changes many times a second.
SLOWDOWN_LIFETIME_S = 0.3
# Time for which a service counts as one whose targets state a slowdown, in seconds;
# hosts of large fleets get few answers.
STATES_SLOWDOWN_S = 30.0
# Largest slowdown that is believed.
MAX_SLOWDOWN = 10.0
# Most requests beyond the hosts' counts that a statement may add, and lack, as a factor
# of the slots: a target that states too much is not left without work, and one that
# states nothing does not get all of it.
MAX_DIFFERENCE = 1.0


class _Statement(NamedTuple):
    """A stated load, with this host's requests there at that time."""

    load: TargetLoad
    own: int
    at: float


class StatedLoads:
    """The newest load that each target has stated to this host."""

    def __init__(self) -> None:
        self._statements: dict[TargetStart, _Statement] = {}
        # Time of the last slowdown that a target of a service has stated.
        self._slowdown_at: dict[str, float] = {}

    def record(
        self, target: RelayTarget, load: TargetLoad, own: int, now: float
    ) -> None:
        """Records the load in an answer of a target.

        Args:
            target: The target.
            load: What it states.
            own: Requests of this host in flight there.
            now: Time in seconds.
        """
        self._statements[start_of(target)] = _Statement(load, own, now)
        if load.slowdown is not None:
            self._slowdown_at[target.service] = now

    def states_slowdown(self, service: str, now: float) -> bool:
        """Whether targets of a service state how slow their machines are."""
        at = self._slowdown_at.get(service)
        return at is not None and now - at <= STATES_SLOWDOWN_S

    def slowdown(self, target: RelayTarget, now: float) -> float:
        """Returns how much longer work takes at a target now; 1 if it is not known."""
        statement = self._statements.get(start_of(target))
        if statement is None or now - statement.at > SLOWDOWN_LIFETIME_S:
            return 1.0
        stated = statement.load.slowdown
        return 1.0 if stated is None else min(MAX_SLOWDOWN, max(1.0, stated))

    def statement(self, target: RelayTarget) -> _Statement | None:
        """Returns the last load that a target has stated, with its time, if any."""
        return self._statements.get(start_of(target))

    def load(self, target: RelayTarget, counted: int, own: int, now: float) -> float:
        """Returns the requests at a target.

        The counts of the hosts lack those of hosts that were not heard yet; what the
        target states lacks what was sent since, of which this host knows its own.

        Args:
            target: The target.
            counted: Requests in flight there by the counts of all hosts.
            own: Those of them that are of this host.
            now: Time in seconds.
        """
        statement = self._statements.get(start_of(target))
        if statement is None or now - statement.at > LOAD_LIFETIME_S:
            return float(counted)
        stated = statement.load.running + statement.load.waiting
        stated += own - statement.own
        most = MAX_DIFFERENCE * max(1, target.slots)
        weight = 1.0 - (now - statement.at) / LOAD_LIFETIME_S
        difference = min(most, max(-most, stated - counted))
        return max(0.0, counted + weight * difference)

    def sweep(self, now: float, names: Container[str]) -> None:
        """Drops what targets that are gone have stated."""
        self._statements = {
            start: statement
            for start, statement in self._statements.items()
            if start.name in names
        }
