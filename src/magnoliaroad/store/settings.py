"""Settings of the platform's key-value service."""

from typing import NamedTuple


class StoreSettings(NamedTuple):
    """Address and timeouts of the platform's key-value service.

    Attributes:
        url: Base URL of the key-value service.
        timeout_s: Timeout of every call except watch calls.
        watch_timeout_s: Longest duration of one watch call.
        max_value_bytes: Largest value that the service accepts.
    """

    url: str
    timeout_s: float = 1.0
    watch_timeout_s: float = 20.0
    max_value_bytes: int = 1_048_576
