"""Splits records into pages for messages."""

from collections.abc import Iterable, Iterator

from magnoliaroad.groups.entry import GroupEntry

# Size that a record adds to a message in addition to its body.
RECORD_OVERHEAD_BYTES = 64


def pages_of(
    entries: Iterable[GroupEntry], page_bytes: int
) -> Iterator[tuple[GroupEntry, ...]]:
    """Yields pages, each closed once its size reaches ``page_bytes``."""
    page: list[GroupEntry] = []
    size = 0
    for entry in entries:
        page.append(entry)
        size += len(entry.body) + RECORD_OVERHEAD_BYTES
        if size >= page_bytes:
            yield tuple(page)
            page, size = [], 0
    if page:
        yield tuple(page)
