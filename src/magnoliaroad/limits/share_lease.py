"""The lease under which a host may use its shares."""

from collections.abc import Iterable

from magnoliaroad.limits.settings import LimitSettings


class ShareLease:
    """Permission to use shares, which expires unless the table is confirmed.

    There are two ways to confirm that the known table is the newest: the store
    says so, to this host or to a peer, or every host that could have changed the
    table attests that it has not. The lease is valid for ``cfg.right_s`` from the
    time at which the request was sent.
    """

    def __init__(self, cfg: LimitSettings) -> None:
        self.cfg = cfg
        self._confirmed_at = float("-inf")
        self._attested_at: dict[str, float] = {}
        self._writers: frozenset[str] | None = None

    def confirm(self, asked_at: float) -> None:
        """Records that no newer table existed at ``asked_at`` or later."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def attest(self, writer: str, asked_at: float) -> None:
        """Records that ``writer``, asked at ``asked_at``, had not changed the table."""
        self._attested_at[writer] = asked_at

    def set_writers(self, writers: Iterable[str]) -> None:
        """Sets the other hosts that may change the table."""
        self._writers = frozenset(writers)

    def release(self) -> None:
        """Ends the lease; called when the host shuts down."""
        self._confirmed_at = float("-inf")
        self._attested_at.clear()
        self._writers = None

    def clear_attestations(self) -> None:
        """Drops all attestations, which were for a different table."""
        self._attested_at.clear()

    def expires_at(self, now: float) -> float:
        """Returns the time at which the lease expires, as known at ``now``."""
        return max(self._confirmed_at, self._all_attested_at(now)) + self.cfg.right_s

    def is_valid(self, now: float) -> bool:
        """Whether the lease is valid at ``now``."""
        return now < self.expires_at(now)

    def _all_attested_at(self, now: float) -> float:
        if self._writers is None:
            return float("-inf")
        times = (self._attested_at.get(w, float("-inf")) for w in self._writers)
        return min(times, default=now)
