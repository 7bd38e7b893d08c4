"""Rendezvous hashing: all hosts rank the same names in the same order for a key."""

from collections.abc import Iterable

import xxhash

HASH_RANGE = 2.0**64


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Returns ``names`` by their rank for ``key``, highest first.

    Adding or removing a name does not change the order of the others.
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def highest_ranked(key: str, names: Iterable[str]) -> str | None:
    """Returns the highest-ranked name for ``key``; ``None`` without names."""
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def hash_part(key: str, name: str) -> float:
    """Returns a part of 1 that follows from both texts, evenly spread over the names.

    Of 53 significant bits, so that it may round to 1.
    """
    return _weight(key, name) / HASH_RANGE


def _weight(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
