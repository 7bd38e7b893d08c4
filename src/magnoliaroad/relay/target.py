"""A running target of a service."""

import enum
from typing import NamedTuple


class TargetState(enum.StrEnum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


class RelayTarget(NamedTuple):
    """What a target says of itself.

    Attributes:
        name: Unique id of the running target.
        service: Service that it serves.
        address: ``ip:port``.
        data_centre: Where it stands.
        slots: Requests that it works on at once.
        state: Whether it takes new work.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    started_ms: int = 0
