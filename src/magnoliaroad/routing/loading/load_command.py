"""An order to an engine."""

from typing import NamedTuple

from magnoliaroad.routing.loading.engine_state import ModelSpec


class LoadCommand(NamedTuple):
    """Tells an engine what to load.

    Attributes:
        target: Name of the engine.
        spec: What it is to load.
        fence: Fencing number of the sender.
    """

    target: str
    spec: ModelSpec
    fence: int
