"""Which targets are scored for a request."""

from collections.abc import Iterable

import xxhash

from magnoliaroad.config import Target


class Candidates:
    """The targets of a route, those of the host's data centre first.

    Args:
        targets: Targets that may get new work.
        data_centre: Data centre of the host.
        limit: Most targets that are returned for a program.
    """

    def __init__(self, targets: Iterable[Target], data_centre: str, limit: int) -> None:
        self.targets = {target.name: target for target in targets}
        self.limit = limit
        self._local = sorted(
            name for name, t in self.targets.items() if t.data_centre == data_centre
        )
        self._remote = sorted(set(self.targets) - set(self._local))

    def select(self, program: str, holders: Iterable[str], attempt: int) -> list[str]:
        """Returns targets to weigh for ``program``, all if they are few.

        Args:
            program: Program of the request.
            holders: Targets that hold part of its prompt.
            attempt: Number of earlier looks, which moves the choice on.
        """
        if len(self.targets) <= self.limit:
            return list(self.targets)
        start = xxhash.xxh3_64_intdigest(program.encode()) + attempt * self.limit
        local = _window(self._local, start, self.limit)
        remote = _window(self._remote, start, self.limit - len(local) or 1)
        chosen = dict.fromkeys([*local, *remote])
        known = (name for name in holders if name in self.targets)
        chosen.update(dict.fromkeys(known))
        return list(chosen)


def _window(names: list[str], start: int, count: int) -> list[str]:
    size = len(names)
    return [names[(start + step) % size] for step in range(min(count, size))]
