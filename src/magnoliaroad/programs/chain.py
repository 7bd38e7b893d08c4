"""Digest chains over messages."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
import xxhash

EMPTY_DIGEST = b""


def digest_chain(
    messages: Iterable[dict[str, Any]], start: bytes = EMPTY_DIGEST
) -> Iterator[bytes]:
    """Yields for each message a digest of it and all messages before it.

    Fields that are ``None`` or an empty list are ignored, since clients add such
    fields to an answer when they send it back.
    """
    digest = start
    for message in messages:
        fields = {k: v for k, v in message.items() if v is not None and v != []}
        data = msgspec.json.encode(fields, order="sorted")
        digest = xxhash.xxh3_128_digest(digest + data)
        yield digest
