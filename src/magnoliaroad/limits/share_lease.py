"""Whether a host may use the shares of the table that it knows."""

from collections.abc import Iterable

from magnoliaroad.limits.settings import LimitSettings


class ShareLease:
    """The right to use shares, which lapses unless the table is confirmed.

    It holds for ``cfg.right_s`` after the question of one of these answers was
    sent: the store (itself or through a peer) said that the table known is the
    newest, or all hosts that could have changed it said that they have not.
    """

    def __init__(self, cfg: LimitSettings) -> None:
        self.cfg = cfg
        self._confirmed_at = float("-inf")
        self._attested_at: dict[str, float] = {}
        self._writers: frozenset[str] | None = None

    def confirm(self, asked_at: float) -> None:
        """Notes that at ``asked_at`` or later no newer table existed."""
        self._confirmed_at = max(self._confirmed_at, asked_at)

    def attest(self, writer: str, asked_at: float) -> None:
        """Notes that ``writer``, asked at ``asked_at``, had not changed the table."""
        self._attested_at[writer] = asked_at

    def set_writers(self, writers: Iterable[str]) -> None:
        """Sets the other hosts that could change the table."""
        self._writers = frozenset(writers)

    def release(self) -> None:
        """Gives the right up for good; the host is shutting down."""
        self._confirmed_at = float("-inf")
        self._attested_at.clear()
        self._writers = None

    def clear_attestations(self) -> None:
        """Drops what was said; it was about another table."""
        self._attested_at.clear()

    def expires_at(self, now: float) -> float:
        """Returns the time at which the right lapses by what is known at ``now``."""
        return max(self._confirmed_at, self._all_attested_at(now)) + self.cfg.right_s

    def is_valid(self, now: float) -> bool:
        """Whether the shares may be used at ``now``."""
        return now < self.expires_at(now)

    def _all_attested_at(self, now: float) -> float:
        if self._writers is None:
            return float("-inf")
        times = (self._attested_at.get(w, float("-inf")) for w in self._writers)
        return min(times, default=now)
