"""What a policy decides."""

import functools
from typing import Any

import pydantic

from magnoliaroad.routing.job import Job
from magnoliaroad.routing.queue_order import QueueOrder
from magnoliaroad.routing.score import Score
from magnoliaroad.routing.target_view import TargetView

_SETTINGS_TYPES: dict[str, Any] = {}


def policy(name: str):
    """Makes a ``NamedTuple`` type known as the settings of policy ``name``."""

    def register(settings_type: Any) -> Any:
        _SETTINGS_TYPES[name] = settings_type
        return settings_type

    return register


def policy_names() -> list[str]:
    """Returns the names of all policies."""
    return sorted(_SETTINGS_TYPES)


def load_policy(name: str, options: dict[str, Any]) -> Any:
    """Returns the settings object of policy ``name``.

    Raises:
        ValueError: There is no such policy or an option does not fit it.
    """
    settings_type = _SETTINGS_TYPES.get(name)
    if settings_type is None:
        raise ValueError(f"policy {name!r} is not one of {', '.join(policy_names())}")
    return pydantic.TypeAdapter(settings_type).validate_python(options)


@functools.singledispatch
def score_target(cfg: Any, job: Job, view: TargetView) -> Score:
    """Returns the score of a target for ``job`` under policy ``cfg``."""
    raise TypeError(f"no policy for settings {cfg!r}")


@functools.singledispatch
def queue_order(cfg: Any) -> QueueOrder | None:
    """Returns how requests wait; ``None`` sends them to the engine at once."""
    return None
