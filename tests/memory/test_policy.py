import pytest

from magnoliaroad.memory.policy import MemoryPolicy, MemoryStep
from magnoliaroad.memory.settings import MemorySettings

MB = 1_000_000
# Collects from 40 MB, after each 10 MB of growth; sheds above 70 MB.
CFG = MemorySettings(limit_mb=100)


@pytest.mark.parametrize(
    ("kept", "resident", "step"),
    [
        (0, 39, MemoryStep.NONE),
        (0, 40, MemoryStep.COLLECT),
        (35, 44, MemoryStep.NONE),
        (35, 45, MemoryStep.COLLECT),
        (65, 70, MemoryStep.NONE),
        (65, 71, MemoryStep.SHED),
        (65, 75, MemoryStep.COLLECT),
    ],
)
def test_garbage_is_collected_before_anything_is_shed(kept, resident, step):
    policy = MemoryPolicy(CFG)
    policy.collected(kept * MB)
    assert policy.step(resident * MB) is step


def test_growth_counts_from_the_lowest_since_the_last_collection():
    policy = MemoryPolicy(CFG)
    policy.collected(60 * MB)
    assert policy.step(45 * MB) is MemoryStep.NONE
    assert policy.step(56 * MB) is MemoryStep.COLLECT


def test_memory_is_not_given_up_again_before_it_grows():
    policy = MemoryPolicy(CFG)
    policy.collected(72 * MB)
    assert policy.step(72 * MB) is MemoryStep.SHED
    policy.shed(72 * MB)
    assert policy.step(72 * MB) is MemoryStep.NONE
    assert policy.step(76 * MB) is MemoryStep.NONE
    assert policy.step(77 * MB) is MemoryStep.SHED


def test_free_pages_are_returned_as_memory_grows_above_the_part_that_may_be_kept():
    """Guards against a process that is ended for pages which it does not use."""
    policy = MemoryPolicy(CFG)
    assert not policy.should_trim(70 * MB)
    assert policy.should_trim(71 * MB)
    policy.trimmed(71 * MB)
    assert not policy.should_trim(71 * MB)
    assert policy.should_trim(72 * MB)
    policy.trimmed(75 * MB)
    assert not policy.should_trim(60 * MB)
    assert policy.should_trim(71 * MB)


def test_excess_is_what_lies_above_the_part_that_may_be_kept():
    policy = MemoryPolicy(CFG)
    assert policy.excess(69 * MB) == 0
    assert policy.excess(75 * MB) == 5 * MB


def test_unread_bytes_count_for_what_is_given_up():
    """Guards against a process that the platform ends for what it has not read."""
    policy = MemoryPolicy(CFG)
    policy.collected(60 * MB)
    assert policy.step(60 * MB, unread=9 * MB) is MemoryStep.NONE
    assert policy.step(60 * MB, unread=11 * MB) is MemoryStep.SHED
    policy.shed(71 * MB)
    assert policy.step(65 * MB, unread=7 * MB) is MemoryStep.NONE
    assert policy.step(65 * MB, unread=11 * MB) is MemoryStep.SHED
