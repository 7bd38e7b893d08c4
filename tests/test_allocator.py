"""Memory that large buffers leave behind."""

import sys

import pytest

from magnoliaroad.allocator import (
    LARGE_BYTES,
    return_free_pages,
    return_large_buffers,
)
from magnoliaroad.memory.resident import resident_bytes


@pytest.mark.skipif(sys.platform != "linux", reason="needs the GNU C library")
def test_freed_buffers_leave_no_gaps_in_the_heap():
    assert return_large_buffers()
    # The first buffer of a size that is freed would raise the bound.
    del (first := [bytes(2 * LARGE_BYTES)])[:]
    before = resident_bytes()
    buffers = [b"x" * (2 * LARGE_BYTES) for _ in range(300)]
    kept = buffers[::10]
    buffers.clear()
    held = len(kept) * 2 * LARGE_BYTES
    assert not first
    assert resident_bytes() - before < 1.5 * held


@pytest.mark.skipif(sys.platform != "linux", reason="needs the GNU C library")
def test_free_pages_between_buffers_are_returned():
    size = LARGE_BYTES // 4
    before = resident_bytes()
    buffers = [b"x" * size for _ in range(2000)]
    kept = buffers[::50]
    buffers.clear()
    assert return_free_pages()
    assert resident_bytes() - before < 4 * len(kept) * size
