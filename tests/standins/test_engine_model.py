import random

import pytest

from magnoliaroad.standins.engine_job import EngineJob
from magnoliaroad.standins.engine_model import EngineModel
from magnoliaroad.standins.engine_settings import EngineSettings

CFG = EngineSettings(event_gap=0.0)


def engine(**changes):
    return EngineModel(CFG._replace(**changes), random.Random(1))


def job(name, blocks=4, answer=10, priority=0, program=None):
    program = program or name
    prefix = tuple(hash((program, n)) for n in range(blocks))
    return EngineJob(name, program, prefix, 256 * blocks + 10, answer, priority)


def run(model, jobs, now=0.0):
    for new_job in jobs:
        model.submit(new_job, now)
    finished = model.advance(now + 1000.0)
    return {seq.job.request_id: seq for seq in finished}


def test_a_step_takes_longer_with_a_larger_batch():
    alone = run(engine(), [job("a", answer=100)])["a"].finished_s
    many = run(engine(), [job(f"j{n}", answer=100) for n in range(20)])
    assert many["j0"].finished_s > 1.3 * alone


def test_a_cached_prompt_is_not_computed_again():
    model = engine()
    first = run(model, [job("a", program="p")])["a"]
    second = run(model, [job("b", program="p")], now=2000.0)["b"]
    assert (first.cached_tokens, second.cached_tokens) == (0, 4 * 256)
    assert second.first_token_s - 2000.0 < first.first_token_s


def test_small_and_large_advances_give_the_same_times():
    jobs = [job(f"j{n}", blocks=n + 1, answer=5 + n) for n in range(30)]
    at_once = {name: seq.finished_s for name, seq in run(engine(), jobs).items()}
    model = engine()
    for new_job in jobs:
        model.submit(new_job, 0.0)
    finished_s = {}
    while model.running:
        for seq in model.advance(model.next_completion_s()):
            finished_s[seq.job.request_id] = seq.finished_s
    assert finished_s == pytest.approx(at_once)


def test_lower_priority_numbers_start_first():
    model = engine(batch=1)
    jobs = [job("first"), job("late", priority=9), job("urgent", priority=1)]
    finished = run(model, jobs)
    assert finished["urgent"].finished_s < finished["late"].finished_s


def test_memory_is_bounded_and_the_ends_of_prompts_are_evicted_first():
    model = engine(memory_tokens=256 * 11)
    run(model, [job("a", blocks=6, program="p")])
    run(model, [job("b", blocks=6, program="q")], now=2000.0)
    assert len(model.cache) <= 11
    assert 0 < model.cache.match(job("a", 6, program="p").prefix) < 6 * 256


def test_cache_bytes_list_programs_until_they_are_released():
    model = engine()
    run(model, [job("a", program="p"), job("b", program="q")])
    assert set(model.cache_bytes_by_program()) == {"p", "q"}
    assert model.release("p", 5, 2000.0) == 4
    assert model.release("q", 4, 2000.0) is None
    assert set(model.cache_bytes_by_program()) == {"q"}


def test_an_unfenced_engine_accepts_stale_fences():
    model = engine(fenced=False)
    assert model.accept_fence(5)
    assert model.accept_fence(4)


def test_cancelling_frees_a_slot_in_the_batch():
    model = engine(batch=1)
    model.submit(job("a", answer=1000), 0.0)
    model.submit(job("b"), 0.0)
    assert model.cancel("a", 1.0)
    assert [seq.job.request_id for seq in model.advance(1000.0)] == ["b"]


def test_load_and_cache_events_lag_and_some_events_are_lost():
    model = engine(event_gap=0.3)
    model.submit(job("a", blocks=100, answer=2000), 10.0)
    assert model.load(10.1).running == 0
    assert model.load(10.6).running == 1
    model.advance(30.0)
    assert model.events(0, 10.5) == []
    numbers = [event.number for event in model.events(0, 30.0)]
    assert numbers == sorted(numbers)
    assert 0 < len(numbers) < model.event_number
