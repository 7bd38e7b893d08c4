"""The targets that a request has been offered to without success."""

from magnoliaroad.relay.detour_failure import PeerLost
from magnoliaroad.targets import TargetError, TargetFull, TargetUnreachable
from magnoliaroad.verdict import Verdict


class Offers:
    """Decides which targets a request is not offered to again.

    Attributes:
        excluded: Names of those targets.
        attempts: Number of targets that may have run the request.
        count: Number of offers since the request last waited for room.
    """

    def __init__(self) -> None:
        self.excluded: set[str] = set()
        self.attempts = 0
        self.count = 0
        self._full: set[str] = set()
        self._unreachable: set[str] = set()

    def record_failure(self, target: str, exc: TargetError, path_lost: bool) -> bool:
        """Records that a target did not answer.

        Args:
            target: Name of the target.
            exc: How the request failed.
            path_lost: Whether the failure has shown that this host is cut off from the
                targets. Those that could not be reached may be offered the request
                through a peer.

        Returns:
            Whether the target is to blame.
        """
        self.count += 1
        self.attempts += exc.verdict is not Verdict.NOT_RUN
        is_unreachable = isinstance(exc, TargetUnreachable)
        if path_lost and is_unreachable:
            self.excluded -= self._unreachable
            return False
        self.excluded.add(target)
        if isinstance(exc, TargetFull):
            self._full.add(target)
        if is_unreachable:
            self._unreachable.add(target)
        return not isinstance(exc, TargetFull | PeerLost)

    def record_second(self, target: str) -> None:
        """Records a second attempt beside the one that is under way."""
        self.attempts += 1
        self.excluded.add(target)

    def record_second_failure(
        self, target: str, exc: TargetError, path_lost: bool
    ) -> bool:
        """Records that a second attempt has failed, as ``record_failure``."""
        self.attempts -= 1
        return self.record_failure(target, exc, path_lost)

    @property
    def found_full_only(self) -> bool:
        """Whether a target was full, and none has failed in another way."""
        return bool(self._full) and self.excluded == self._full

    def readmit_full(self) -> None:
        """Allows the targets that were full to be offered the request again."""
        self.excluded -= self._full
        self._full.clear()
        self.count = 0
