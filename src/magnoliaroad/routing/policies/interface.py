"""Registry and functions of placement policies."""

import functools
from typing import Any

import pydantic

from magnoliaroad.queueing.job import Job
from magnoliaroad.queueing.queue_order import QueueOrder
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.target_view import TargetView

_SETTINGS_TYPES: dict[str, Any] = {}


def policy(name: str):
    """Registers a ``NamedTuple`` type as the settings of policy ``name``."""

    def register(settings_type: Any) -> Any:
        _SETTINGS_TYPES[name] = settings_type
        return settings_type

    return register


def policy_names() -> list[str]:
    """Returns the names of all policies."""
    return sorted(_SETTINGS_TYPES)


def load_policy(name: str, options: dict[str, Any]) -> Any:
    """Returns the settings of policy ``name`` with ``options`` applied.

    Raises:
        ValueError: The policy does not exist or an option is invalid.
    """
    settings_type = _SETTINGS_TYPES.get(name)
    if settings_type is None:
        raise ValueError(
            f"unknown policy {name!r}; expected one of {', '.join(policy_names())}"
        )
    return pydantic.TypeAdapter(settings_type).validate_python(options)


@functools.singledispatch
def score_target(cfg: Any, job: Job, view: TargetView) -> Score:
    """Returns the score of a target for ``job`` under policy ``cfg``."""
    raise TypeError(f"no policy is registered for settings {cfg!r}")


@functools.singledispatch
def queue_order(cfg: Any) -> QueueOrder | None:
    """Returns the queue settings; ``None`` means that requests are not queued."""
    return None
