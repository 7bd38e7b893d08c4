from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.routing.loading import (
    EngineState,
    LoadingSettings,
    ModelSpec,
    next_commands,
)

MODELS = ("planner", "checker")
MODEL_SPECS = st.builds(
    ModelSpec, st.sampled_from(MODELS), st.sampled_from(("v1", "v2"))
)
FLEETS = st.lists(
    st.tuples(st.one_of(st.none(), MODEL_SPECS), MODEL_SPECS, st.integers(0, 9)),
    min_size=1,
    max_size=8,
)


def engines_with(engines, model):
    return [e for e in engines if e.spec is not None and e.spec.model == model]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(FLEETS, st.integers(1, 3), st.randoms(use_true_random=False))
def test_rollout_never_removes_the_last_engine_of_a_model(fleet, limit, rng):
    engines = {
        f"e{n}": EngineState(f"e{n}", current, in_flight)
        for n, (current, _, in_flight) in enumerate(fleet)
    }
    wanted = {f"e{n}": want for n, (_, want, _) in enumerate(fleet)}
    still_wanted = {spec.model for spec in wanted.values()}
    loading = {name: wanted[name] for name, e in engines.items() if e.spec is None}
    for _ in range(40):
        before = {model: len(engines_with(engines.values(), model)) for model in MODELS}
        commands = next_commands(
            LoadingSettings(limit), wanted, list(engines.values()), fence=3
        )
        for command in commands:
            assert command.spec == wanted[command.target]
            engines[command.target] = engines[command.target]._replace(spec=None)
            loading[command.target] = command.spec
        assert not commands or len(loading) <= limit
        for model in still_wanted:
            assert not before[model] or engines_with(engines.values(), model)
        if loading:
            name = rng.choice(sorted(loading))
            spec = loading.pop(name)
            engines[name] = engines[name]._replace(spec=spec)


def test_an_idle_engine_goes_first_and_a_failing_one_is_no_replacement():
    old, new = ModelSpec("planner", "v1"), ModelSpec("planner", "v2")
    busy, idle = EngineState("busy", old, 9), EngineState("idle", old, 0)
    wanted = {"busy": new, "idle": new}
    (command,) = next_commands(LoadingSettings(), wanted, [busy, idle], 1)
    assert command.target == "idle"
    failing = idle._replace(healthy=False)
    (command,) = next_commands(LoadingSettings(1), wanted, [busy, failing], 1)
    assert command.target == "idle"
    assert next_commands(LoadingSettings(), {"busy": new}, [busy], 1) == []
