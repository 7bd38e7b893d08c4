"""Settings of the rate of cold targets."""

from typing import NamedTuple


class SlowStartSettings(NamedTuple):
    """Most requests that a cold target may get from all hosts in one second.

    The most is the service's rate times ``overage`` plus ``slack``.

    Attributes:
        overage: Factor of the rate.
        slack: Requests beyond it.
    """

    overage: float = 1.5
    slack: float = 5.0
