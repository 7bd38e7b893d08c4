from magnoliaroad.routing.cache_event_applier import LOST_EVENT_LIMIT, CacheEventApplier
from magnoliaroad.routing.prefix import BLOCK_TOKENS, prefix_digests
from magnoliaroad.routing.prefix_index import PrefixIndex

PREFIX = (11, 12, 13, 14, 15)


def test_an_extended_prompt_starts_with_the_same_digests():
    first = [{"role": "user", "content": "a" * 5000}]
    longer = [*first, {"role": "assistant", "content": "b" * 5000}]
    digests = prefix_digests(first)
    assert prefix_digests(longer)[: len(digests)] == digests
    assert prefix_digests([{"role": "user", "content": "c" * 5000}])[0] != digests[0]


def test_a_longer_prompt_matches_a_prefix_that_was_sent():
    index = PrefixIndex(100)
    index.add_prefix("engine-1", PREFIX[:3], 0.0)
    assert index.cached_tokens(PREFIX) == {"engine-1": 3 * BLOCK_TOKENS}


def test_evicting_the_last_block_keeps_the_shorter_prefix():
    index = PrefixIndex(100)
    index.add_prefix("engine-1", PREFIX, 0.0)
    index.remove_blocks("engine-1", PREFIX[4:])
    assert index.cached_tokens(PREFIX) == {"engine-1": 4 * BLOCK_TOKENS}


def test_a_small_gap_is_counted_and_a_large_one_invalidates_old_entries():
    index = PrefixIndex(100)
    applier = CacheEventApplier("engine-1", index)
    assert applier.apply([(1, True, 11), (3, True, 12)], 10.0) == 1
    assert index.cached_tokens(PREFIX) == {"engine-1": 2 * BLOCK_TOKENS}
    index.add_prefix("engine-1", (77,), 59.0)
    applier.apply([(5 + LOST_EVENT_LIMIT, True, 99)], 60.0)
    assert index.cached_tokens(PREFIX) == {}
    assert index.cached_tokens((77,)) == {"engine-1": BLOCK_TOKENS}


def test_a_restart_invalidates_the_entries_of_an_engine():
    index = PrefixIndex(100)
    applier = CacheEventApplier("engine-1", index)
    applier.apply([(1, True, 11)], 10.0)
    applier.restart(20.0)
    assert index.cached_tokens(PREFIX) == {}
    assert applier.apply([(1, True, 11)], 21.0) == 0
    assert index.cached_tokens(PREFIX) == {"engine-1": BLOCK_TOKENS}


def test_the_index_size_is_bounded():
    index = PrefixIndex(50)
    for number in range(500):
        index.add_block("engine-1", number, float(number))
    assert len(index) == 50
