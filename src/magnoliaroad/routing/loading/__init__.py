"""Plans when engines load the models that the configuration assigns to them."""

from magnoliaroad.routing.loading.engine_state import EngineState, ModelSpec
from magnoliaroad.routing.loading.load_command import LoadCommand
from magnoliaroad.routing.loading.plan import LoadingSettings, next_commands

__all__ = [
    "EngineState",
    "LoadCommand",
    "LoadingSettings",
    "ModelSpec",
    "next_commands",
]
