"""When the requests of a host that is about to stop have to end."""

from magnoliaroad.refusal import Refusal, Refused

# Time before the end of the drain by which requests have ended, in seconds, so that
# their answers are sent before the process exits.
ANSWER_MARGIN_S = 0.3
# Shortest time limit of what is sent at the end of a drain, in seconds.
MIN_LIMIT_S = 0.02
# Times the longest recent duration that a request must have left.
EXPECTED_FACTOR = 2.0
# Retry time for callers of a host that stops, in seconds. A new connection reaches
# another host at once.
STOPPING_RETRY_S = 0.1

STOPPING = Refusal(
    code="stopping",
    status=503,
    message="This host stops before the request would have to end.",
    action="Send the request again, on a new connection.",
    retry_after_s=STOPPING_RETRY_S,
)


class DrainLimit:
    """Decides which requests still fit into the drain of a host.

    Requests that arrive during the notice are taken whatever their time limit, as the
    balancer sends them, and end by the end of the drain with some answer. Later ones
    come on connections in use and are taken only if their time limit ends in time, or
    if requests of their kind take much less.
    """

    def __init__(self) -> None:
        self._notice_until: float | None = None
        self.ends_at: float | None = None

    def begin(self, now: float, notice_s: float, limit_s: float) -> None:
        """Sets the times at the start of the drain.

        Args:
            now: Monotonic time in seconds.
            notice_s: Time for the balancer to notice the drain.
            limit_s: Longest time until the drain ends.
        """
        self._notice_until = now + notice_s
        self.ends_at = now + max(0.0, limit_s - ANSWER_MARGIN_S)

    def time_limit_s(self, now: float, limit_s: float) -> float:
        """Returns the time limit of what is sent now, in seconds.

        Args:
            now: Monotonic time in seconds.
            limit_s: The limit while the host does not stop.
        """
        if self.ends_at is None:
            return limit_s
        return min(limit_s, max(MIN_LIMIT_S, self.ends_at - now))

    def fit(
        self, now: float, deadline: float, expected_s: float | None = None
    ) -> float:
        """Returns the deadline of a request that has arrived whole.

        Args:
            now: Monotonic time in seconds.
            deadline: Time at which the request has to end otherwise.
            expected_s: Time within which requests of its kind end, in seconds;
                ``None`` if that is not known.

        Raises:
            Refused: The request has not run and would not end in time.
        """
        if self.ends_at is None or self._notice_until is None:
            return deadline
        if deadline <= self.ends_at:
            return deadline
        ends_in_time = (
            expected_s is not None
            and now + EXPECTED_FACTOR * expected_s <= self.ends_at
        )
        if now >= self._notice_until and not ends_in_time:
            raise Refused(STOPPING, left_s=round(self.ends_at - now, 3))
        return self.ends_at
