"""Gradual rollout of the configured models to engines."""

import collections
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from magnoliaroad.routing.loading.engine_state import EngineState, ModelSpec
from magnoliaroad.routing.loading.load_command import LoadCommand


class LoadingSettings(NamedTuple):
    """Limits of a rollout.

    Attributes:
        loading_limit: Maximum number of engines that load at once, given the
            bandwidth of the weight store.
    """

    loading_limit: int = 2


def next_commands(
    cfg: LoadingSettings,
    wanted: Mapping[str, ModelSpec],
    engines: Sequence[EngineState],
    fence: int,
) -> list[LoadCommand]:
    """Returns the commands that can be sent now, for idle engines first.

    An engine is changed only if another healthy engine serves its current model
    or no engine should serve that model any more. To update a model that has a
    single engine, a second engine must be added first.

    Args:
        cfg: Limits of the rollout.
        wanted: Configured model of each engine, by engine name.
        engines: Last known state of the engines.
        fence: Fencing token of this planner.
    """
    serving = collections.Counter(
        engine.spec.model
        for engine in engines
        if engine.spec is not None and engine.healthy
    )
    still_wanted = {spec.model for spec in wanted.values()}
    free_slots = cfg.loading_limit - sum(engine.spec is None for engine in engines)
    commands: list[LoadCommand] = []
    for engine in sorted(engines, key=lambda engine: (engine.in_flight, engine.name)):
        if len(commands) >= free_slots:
            break
        if not _needs_change(engine, wanted):
            continue
        model = engine.spec.model
        is_last = serving[model] - engine.healthy < 1
        if is_last and model in still_wanted:
            continue
        serving[model] -= engine.healthy
        commands.append(LoadCommand(engine.name, wanted[engine.name], fence))
    return commands


def _needs_change(engine: EngineState, wanted: Mapping[str, ModelSpec]) -> bool:
    spec = wanted.get(engine.name)
    return None not in (engine.spec, spec) and engine.spec != spec
