"""Settings of callers' keys."""

from typing import NamedTuple


class KeySettings(NamedTuple):
    """How a host validates keys.

    Attributes:
        cut_off_serve_s: Longest time without contact to the store or another data
            centre for which keys are served; after it, requests with a key are
            refused. ``None`` sets no limit.
        exchange_interval_s: Time between two comparisons, each with one peer.
    """

    cut_off_serve_s: float | None = 1_800.0
    exchange_interval_s: float = 1.0
