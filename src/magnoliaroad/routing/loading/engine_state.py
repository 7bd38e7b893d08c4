"""The model that an engine has loaded, and its state."""

from typing import NamedTuple


class ModelSpec(NamedTuple):
    """A model at a version, in a role, with adapters.

    Attributes:
        model: Name of the model.
        version: Version of the model.
        role: Purpose for which the engine runs it, such as ``serve``.
        adapters: Names of adapters.
    """

    model: str
    version: str
    role: str = "serve"
    adapters: frozenset[str] = frozenset()


class EngineState(NamedTuple):
    """Last known state of an engine.

    Attributes:
        name: Name of the target.
        spec: Loaded model; ``None`` while it loads one.
        in_flight: Requests in progress at the engine.
        healthy: Whether its circuit breaker is closed.
    """

    name: str
    spec: ModelSpec | None
    in_flight: int = 0
    healthy: bool = True
