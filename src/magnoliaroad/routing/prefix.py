"""Chained digests of a prompt's prefixes, one per block of tokens."""

from typing import Any

import msgspec
import xxhash

BLOCK_TOKENS = 256
BLOCK_BYTES = 4 * BLOCK_TOKENS


def prefix_digests(messages: list[dict[str, Any]]) -> tuple[int, ...]:
    """Returns a chained 64-bit digest for each whole block of ``messages``.

    If one prompt extends another, its digests start with those of the other.
    """
    data = b"".join(msgspec.json.encode(message) for message in messages)
    return chain_digests(data)


def chain_digests(data: bytes) -> tuple[int, ...]:
    """Returns a chained 64-bit digest for each whole block of ``data``."""
    digests = []
    digest = 0
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        digest = xxhash.xxh3_64_intdigest(block, seed=digest)
        digests.append(digest)
    return tuple(digests)
