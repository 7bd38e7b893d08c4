"""A command to an engine."""

from typing import NamedTuple

from magnoliaroad.routing.loading.engine_state import ModelSpec


class LoadCommand(NamedTuple):
    """Instructs an engine to load a model.

    Attributes:
        target: Name of the engine.
        spec: Model to load.
        fence: Fencing token of the sender.
    """

    target: str
    spec: ModelSpec
    fence: int
