"""Settings of waiting requests."""

from typing import Literal, NamedTuple


class WaitingSettings(NamedTuple):
    """When requests that targets refuse as full wait, and how many may.

    Attributes:
        enabled: ``auto`` for services whose targets state how much slower their
            machines are at the moment, ``on`` for all, ``off`` for none.
        max_requests: Most requests that wait at a host.
        max_bytes: Most bytes of their bodies together.
        longest_wait_s: Longest time that one waits.
    """

    enabled: Literal["auto", "on", "off"] = "auto"
    max_requests: int = 200
    max_bytes: int = 4_000_000
    longest_wait_s: float = 1.0
