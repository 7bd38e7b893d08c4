"""The entry of a running target of a service."""

import enum
from typing import NamedTuple


class TargetState(enum.StrEnum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class RelayTarget(NamedTuple):
    """A target as its entry in the store describes it.

    Attributes:
        name: Unique id of the running target.
        service: Service that it serves.
        address: ``ip:port``.
        data_centre: Data centre of the target.
        slots: Requests that it can run at the same time.
        state: Whether it accepts new requests.
        started_ms: Unix time of its start in milliseconds; 0 if unknown.
        version: Version of its software; empty if unknown. Streams that one version has
            begun cannot be continued by another.
        cold_s: Time for which it is cold after its entry, in seconds; 0 if it is warm.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    started_ms: int = 0
    version: str = ""
    cold_s: float = 0.0


class TargetStart(NamedTuple):
    """One start of a target, to which what the target states about itself applies.

    Attributes:
        name: Id of the target.
        started_ms: Unix time of the start in milliseconds; a later start under the same
            id is another one. 0 if it is unknown.
    """

    name: str
    started_ms: int


def start_of(target: RelayTarget) -> TargetStart:
    """Returns the start of a target that its entry describes."""
    return TargetStart(target.name, target.started_ms)
