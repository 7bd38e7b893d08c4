"""Decides whether this host has lost its network path to the targets of a service."""

# Targets of a service to which no new connection can be made before the host takes
# itself for cut off, or all of them if there are fewer. Fewer may have failed at once.
MIN_UNREACHABLE = 3
# Time for which a failed connection is evidence, in seconds; several times as long as
# a round of probes takes.
EVIDENCE_LIFETIME_S = 2.0


class TargetPaths:
    """The services whose targets this host cannot reach.

    Only new connections count: those that exist may live on while new ones are
    refused, and a target that is silent on one may only stand still. A host stays cut
    off from a service until a new connection to any of its targets is made.
    """

    def __init__(self) -> None:
        self._unreachable: dict[str, dict[str, float]] = {}
        self._cut_since: dict[str, float] = {}

    def is_cut(self, service: str) -> bool:
        """Returns whether the host is cut off from all targets of a service."""
        return service in self._cut_since

    @property
    def cut(self) -> list[str]:
        """The services that the host is cut off from."""
        return list(self._cut_since)

    def unreachable(self, service: str) -> list[str]:
        """Returns the targets of a service to which connections have failed."""
        return list(self._unreachable.get(service, ()))

    def record_unreachable(
        self, service: str, target: str, now: float, known: int
    ) -> bool:
        """Records a connection that could not be made.

        Args:
            service: Service of the target.
            target: Name of the target.
            now: Time in seconds.
            known: Number of targets of the service. One that is the only one counts
                as unreachable with those of another service.

        Returns:
            Whether the host has thereby turned out to be cut off.
        """
        failed = self._unreachable.setdefault(service, {})
        failed[target] = now
        if service in self._cut_since:
            return False
        for name, at in list(failed.items()):
            if now - at > EVIDENCE_LIFETIME_S:
                del failed[name]
        if len(failed) < min(MIN_UNREACHABLE, known):
            return False
        if known < 2 and not self._cut_since:
            return False
        self._cut_since[service] = now
        return True

    def record_connected(self, service: str, now: float) -> float | None:
        """Records a new connection to a target of a service.

        Returns:
            For how long the host had been cut off, in seconds; ``None`` if it was not.
        """
        self._unreachable.pop(service, None)
        since = self._cut_since.pop(service, None)
        return None if since is None else now - since
