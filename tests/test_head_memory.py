from magnoliaroad.head_memory import MAX_HEADS_BYTES, SMALL_HEAD_BYTES, HeadMemory


def test_heads_are_refused_once_all_together_are_too_large():
    memory = HeadMemory()
    assert memory.take(MAX_HEADS_BYTES, 0)
    assert not memory.take(SMALL_HEAD_BYTES + 1, 0)
    assert not memory.take(1, SMALL_HEAD_BYTES)
    memory.free(MAX_HEADS_BYTES)
    assert memory.take(SMALL_HEAD_BYTES + 1, 0)


def test_a_small_head_is_never_refused():
    memory = HeadMemory()
    memory.take(MAX_HEADS_BYTES, 0)
    assert memory.take(SMALL_HEAD_BYTES - 100, 100)


def test_what_was_freed_is_not_held():
    memory = HeadMemory()
    memory.take(1000, 0)
    memory.free(1000)
    assert memory.held_bytes == 0
