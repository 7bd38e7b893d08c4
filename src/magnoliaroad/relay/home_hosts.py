"""Finds the hosts that count for the whole fleet."""

from collections.abc import Callable

from magnoliaroad.rendezvous import highest_ranked

# Timeout of a call to a home host, in seconds; several times what a loaded host takes
# to answer.
ASK_S = 0.15


class HomeHosts:
    """The home host of each key: the first choice of rendezvous hashing.

    Args:
        hosts: Returns the hosts in contact that may be home hosts; the same list as
            long as nothing has changed.
    """

    def __init__(self, hosts: Callable[[], list[str]]) -> None:
        self._hosts = hosts
        self._known_hosts: list[str] = []
        self._homes: dict[str, str | None] = {}

    def find(self, key: str) -> str | None:
        """Returns the home host of ``key``; ``None`` without hosts."""
        hosts = self._hosts()
        if hosts is not self._known_hosts:
            self._known_hosts = hosts
            self._homes.clear()
        if key not in self._homes:
            self._homes[key] = highest_ranked(key, hosts)
        return self._homes[key]
