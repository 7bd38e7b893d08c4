"""The targets that a host knows, and what it thinks of them."""

from collections.abc import Iterable

from magnoliaroad.relay.target import RelayTarget, TargetState


class TargetTable:
    """Targets by name, with the work in hand and recent failures of each."""

    def __init__(self) -> None:
        self.targets: dict[str, RelayTarget] = {}
        self.in_hand: dict[str, int] = {}
        self._remote: dict[str, dict[str, int]] = {}
        self._failures: dict[str, int] = {}
        self._rests_until: dict[str, float] = {}

    def set(self, target: RelayTarget) -> None:
        """Adds or replaces a target."""
        self.targets[target.name] = target

    def drop(self, name: str) -> None:
        """Forgets a target."""
        for table in (self.targets, self._failures, self._rests_until):
            table.pop(name, None)

    def usable(self, service: str, now: float) -> list[RelayTarget]:
        """Returns the targets of ``service`` that take new work.

        Targets that failed lately are left out unless no other is there.
        """
        ready = [
            target
            for target in self.targets.values()
            if target.service == service and target.state is TargetState.READY
        ]
        sound = [t for t in ready if self._rests_until.get(t.name, 0.0) <= now]
        return sound or ready

    def load(self, name: str) -> int:
        """Returns the requests in hand at a target, of all hosts."""
        remote = sum(counts.get(name, 0) for counts in self._remote.values())
        return self.in_hand.get(name, 0) + remote

    def begin(self, name: str) -> None:
        """Counts a request that is sent to a target."""
        self.in_hand[name] = self.in_hand.get(name, 0) + 1

    def end(self, name: str) -> None:
        """Counts the end of a request at a target."""
        left = self.in_hand.get(name, 0) - 1
        if left > 0:
            self.in_hand[name] = left
        else:
            self.in_hand.pop(name, None)

    def heard(self, host: str, in_hand: dict[str, int]) -> None:
        """Takes over what a peer has in hand at targets."""
        self._remote[host] = in_hand

    def forget_hosts(self, kept: Iterable[str]) -> None:
        """Drops what hosts other than ``kept`` had in hand."""
        kept = set(kept)
        self._remote = {h: c for h, c in self._remote.items() if h in kept}

    def failed(self, name: str, now: float, rest_s: float, most_s: float) -> float:
        """Notes a failure of a target; returns how long it gets no new work."""
        count = self._failures[name] = self._failures.get(name, 0) + 1
        pause_s = min(most_s, rest_s * 2 ** (count - 1))
        self._rests_until[name] = now + pause_s
        return pause_s

    def worked(self, name: str) -> None:
        """Notes that a target answered."""
        if name in self._failures:
            del self._failures[name]
            self._rests_until.pop(name, None)
