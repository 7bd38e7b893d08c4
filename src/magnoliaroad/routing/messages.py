"""Messages that hosts exchange about the load of targets."""

from typing import NamedTuple


class HostLoad(NamedTuple):
    """The sender's in-flight requests by target; targets without any are left out."""

    TAG = "WorkHint"

    in_flight: dict[str, int]
