"""The set of withdrawn keys; merging is commutative and idempotent."""

import itertools
from collections.abc import Iterable, Iterator

import xxhash

SHARDS = 64
FINGERPRINT_BYTES = 16


def fingerprint(digest: str) -> bytes:
    """Returns the first 16 bytes of a key's SHA-256, given in hexadecimal.

    Raises:
        ValueError: ``digest`` is not the SHA-256 of a key.
    """
    data = bytes.fromhex(digest)
    if len(data) < FINGERPRINT_BYTES:
        raise ValueError(f"digest {digest!r} is too short")
    return data[:FINGERPRINT_BYTES]


def shard_of(item: bytes) -> int:
    """Returns the number of the shard of the fingerprint ``item``."""
    return item[0] % SHARDS


def pack_shard(items: Iterable[bytes]) -> bytes:
    """Returns the fingerprints concatenated in sorted order, 16 bytes each."""
    return b"".join(sorted(items))


def unpack_shard(data: bytes) -> list[bytes]:
    """Returns the fingerprints in ``data``.

    Raises:
        ValueError: The length of ``data`` is not a multiple of 16 bytes.
    """
    if len(data) % FINGERPRINT_BYTES:
        raise ValueError(f"{len(data)} bytes is not a whole number of fingerprints")
    starts = range(0, len(data), FINGERPRINT_BYTES)
    return [data[start : start + FINGERPRINT_BYTES] for start in starts]


class Withdrawals:
    """Grow-only set of fingerprints of withdrawn keys, divided into shards."""

    def __init__(self) -> None:
        self._shards: list[set[bytes]] = [set() for _ in range(SHARDS)]
        self._checksums = [0] * SHARDS

    def __len__(self) -> int:
        return sum(map(len, self._shards))

    def __iter__(self) -> Iterator[bytes]:
        return itertools.chain.from_iterable(self._shards)

    def __contains__(self, item: bytes) -> bool:
        return item in self._shards[shard_of(item)]

    def merge(self, items: Iterable[bytes]) -> list[bytes]:
        """Adds fingerprints and returns those that are new."""
        new = []
        for item in items:
            number = shard_of(item)
            if item not in self._shards[number]:
                self._shards[number].add(item)
                self._checksums[number] ^= xxhash.xxh64_intdigest(item)
                new.append(item)
        return new

    def shard(self, number: int) -> frozenset[bytes]:
        """Returns the fingerprints in one shard."""
        return frozenset(self._shards[number])

    def shard_checksums(self) -> tuple[int, ...]:
        """Returns a checksum of each shard; equal sets have equal checksums."""
        return tuple(self._checksums)

    def differing_shards(self, checksums: tuple[int, ...]) -> list[int]:
        """Returns the shard numbers whose checksum differs from ``checksums``."""
        pairs = zip(range(SHARDS), self._checksums, checksums, strict=False)
        return [number for number, ours, theirs in pairs if ours != theirs]

    def checksum(self) -> int:
        """Returns a checksum of the whole set."""
        return xxhash.xxh64_intdigest(repr(self._checksums).encode())
