"""Selection of the targets that are scored for a request."""

from collections.abc import Iterable

import xxhash

from magnoliaroad.config import Target


class Candidates:
    """Selects targets of a route, preferring those in the host's data centre.

    Args:
        targets: Targets that accept new requests.
        data_centre: Data centre of the host.
        limit: Number of targets selected, besides those that have part of the
            prompt cached.
    """

    def __init__(self, targets: Iterable[Target], data_centre: str, limit: int) -> None:
        self.targets = {target.name: target for target in targets}
        self.limit = limit
        self._local = sorted(
            name for name, t in self.targets.items() if t.data_centre == data_centre
        )
        self._remote = sorted(set(self.targets) - set(self._local))

    def select(self, program: str, holders: Iterable[str], attempt: int) -> list[str]:
        """Returns the targets to score for ``program``; all of them if within limit.

        Args:
            program: Program of the request.
            holders: Targets that have part of its prompt cached.
            attempt: Number of earlier attempts; each attempt selects other targets.
        """
        if len(self.targets) <= self.limit:
            return list(self.targets)
        start = xxhash.xxh3_64_intdigest(program.encode()) + attempt * self.limit
        local = _window(self._local, start, self.limit)
        remote = _window(self._remote, start, self.limit - len(local) or 1)
        chosen = dict.fromkeys([*local, *remote])
        cached_at = (name for name in holders if name in self.targets)
        chosen.update(dict.fromkeys(cached_at))
        return list(chosen)


def _window(names: list[str], start: int, count: int) -> list[str]:
    size = len(names)
    return [names[(start + step) % size] for step in range(min(count, size))]
