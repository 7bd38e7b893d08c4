"""Cache event that a stand-in engine publishes."""

from typing import NamedTuple


class CacheEvent(NamedTuple):
    """A block that was stored in or evicted from the prompt cache.

    Attributes:
        number: Sequence number, increased by one with each event. A gap means that
            events were lost.
        stored: True if the block was stored, false if it was evicted.
        digest: Digest of the prompt up to the end of the block.
    """

    number: int
    stored: bool
    digest: int
