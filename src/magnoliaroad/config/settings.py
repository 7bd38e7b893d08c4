"""Settings of the configuration's distribution."""

from typing import NamedTuple


class ConfigSettings(NamedTuple):
    """How a host receives new configurations.

    Attributes:
        watchers_per_data_centre: Number of hosts of a data centre that watch the
            store.
        watch_limit_s: Longest time that one watch call stays open. A stalled connection
            is detected after at most this time plus the store's timeout.
        exchange_interval_s: Time between two comparisons, each with one peer.
        exchange_timeout_s: Longest wait for the response of a peer.
        confirm_timeout_s: Longest wait for the store and the peers at startup.
    """

    watchers_per_data_centre: int = 2
    watch_limit_s: float = 2.0
    exchange_interval_s: float = 1.0
    exchange_timeout_s: float = 0.5
    confirm_timeout_s: float = 2.0
