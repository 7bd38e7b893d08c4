"""Results of checking a request against its team's rate."""

from typing import NamedTuple


class Admitted(NamedTuple):
    """The request may run.

    Attributes:
        request_id: Number of the request.
    """

    request_id: int


class OverRate(NamedTuple):
    """The request is refused.

    Attributes:
        request_id: Number of the request.
        retry_after_s: Seconds until a token is expected to be free.
    """

    request_id: int
    retry_after_s: float


Decision = Admitted | OverRate
