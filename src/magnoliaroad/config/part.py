"""Content-addressed parts of the configuration."""

import hashlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgpack
import msgspec
import xxhash

from magnoliaroad.config.document import Config
from magnoliaroad.config.grant import KeyGrant
from magnoliaroad.config.route import Route
from magnoliaroad.config.target import Target
from magnoliaroad.config.team import Team
from magnoliaroad.decoding import unpack

DIGEST_BYTES = 16
MEAN_ITEMS_PER_PART = 32
MAX_PART_BYTES = 256_000
MAX_ITEM_BYTES = 900_000
ITEM_KINDS = {"teams": Team, "grants": KeyGrant, "routes": Route, "targets": Target}

Item = tuple[str, Any]


class Part(NamedTuple):
    """A packed group of items of one kind.

    Attributes:
        digest: Digest of ``data``.
        data: Kind and items as msgpack.
    """

    digest: bytes
    data: bytes


def digest_part(data: bytes) -> bytes:
    """Returns the content digest of ``data``."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def split_config(config: Config) -> list[Part]:
    """Splits ``config`` into parts.

    Items are sorted by name, and a part ends after each name whose hash is a multiple
    of ``MEAN_ITEMS_PER_PART``. The boundaries depend on names and not on positions,
    so changing one item changes one part.

    Raises:
        ValueError: A single item exceeds ``MAX_ITEM_BYTES``.
    """
    parts = []
    for kind in ITEM_KINDS:
        for group in _group_items(getattr(config, kind)):
            data = msgpack.packb([kind, group])
            parts.append(Part(digest_part(data), data))
    return parts


def read_part(data: bytes) -> tuple[str, dict[str, Any]]:
    """Returns the kind and the items in ``data``, by name.

    Raises:
        ValueError: ``data`` is not a part.
    """
    try:
        kind, fields = unpack(data, tuple[str, list[Any]])
        items = msgspec.convert(fields, list[tuple[str, ITEM_KINDS[kind]]])
    except (
        KeyError,
        TypeError,
        ValueError,
        RecursionError,
        msgspec.ValidationError,
    ) as exc:
        raise ValueError(f"not a part of a configuration: {exc!r}") from exc
    return kind, dict(items)


def join_parts(revision: int, parts: Iterable[tuple[str, dict[str, Any]]]) -> Config:
    """Returns the configuration that ``parts`` form together."""
    kinds: dict[str, dict[str, Any]] = {kind: {} for kind in ITEM_KINDS}
    for kind, items in parts:
        kinds[kind].update(items)
    return Config(revision, **kinds)


def _group_items(items: dict[str, Any]) -> Iterator[list[Item]]:
    group: list[Item] = []
    size = 0
    for name in sorted(items):
        item = (name, msgspec.to_builtins(items[name]))
        added = len(msgpack.packb(item))
        if added > MAX_ITEM_BYTES:
            raise ValueError(
                f"item {name!r} has {added} bytes; the limit is {MAX_ITEM_BYTES}"
            )
        if group and size + added > MAX_PART_BYTES:
            yield group
            group, size = [], 0
        group.append(item)
        size += added
        if xxhash.xxh64_intdigest(name.encode()) % MEAN_ITEMS_PER_PART == 0:
            yield group
            group, size = [], 0
    if group:
        yield group
