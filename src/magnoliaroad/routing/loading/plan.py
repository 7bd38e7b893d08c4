"""Brings engines to what the configuration states, at a pace."""

import collections
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from magnoliaroad.routing.loading.engine_state import EngineState, ModelSpec
from magnoliaroad.routing.loading.load_command import LoadCommand


class LoadingSettings(NamedTuple):
    """Pace of commands.

    Attributes:
        loading_limit: Engines that load at once, by what the weight store
            gives.
    """

    loading_limit: int = 2


def next_commands(
    cfg: LoadingSettings,
    wanted: Mapping[str, ModelSpec],
    engines: Sequence[EngineState],
    fence: int,
) -> list[LoadCommand]:
    """Returns the commands that may be sent now.

    An engine changes only while another healthy one serves its present model,
    or where nothing wants that model any more. A model with a single engine is
    brought to another version by adding a second engine first.

    Idle engines go first.

    Args:
        cfg: Pace of commands.
        wanted: Model spec by engine, from the configuration.
        engines: Engines as last seen.
        fence: Fencing number of this planner.
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
