"""What an engine has loaded."""

from typing import NamedTuple


class ModelSpec(NamedTuple):
    """A model at a version, in a role, with adapters.

    Attributes:
        model: Name of the model.
        version: Version of the model.
        role: What the engine does with it, such as ``serve``.
        adapters: Names of adapters.
    """

    model: str
    version: str
    role: str = "serve"
    adapters: frozenset[str] = frozenset()


class EngineState(NamedTuple):
    """An engine as last seen.

    Attributes:
        name: Name of the target.
        spec: What it has loaded; ``None`` while it loads.
        in_flight: Requests that it is working on.
        healthy: Whether its breaker is closed.
    """

    name: str
    spec: ModelSpec | None
    in_flight: int = 0
    healthy: bool = True
