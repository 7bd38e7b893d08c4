"""Messages about withdrawn keys."""

from typing import NamedTuple


class WithdrawalNotice(NamedTuple):
    """Fingerprints of keys that were withdrawn just now."""

    fingerprints: tuple[bytes, ...]


class WithdrawalAck(NamedTuple):
    """Says that the sender refuses all keys of the notice."""

    host: str


class WithdrawalsRequest(NamedTuple):
    """Asks whether the sets are equal.

    Attributes:
        checksum: Checksum of the sender's set.
        shard_checksums: Checksum of each shard; empty in the first ask.
    """

    TAG = "WithdrawalsAsk"

    checksum: int
    shard_checksums: tuple[int, ...] = ()


class WithdrawalsResponse(NamedTuple):
    """The differing shards of the sender's set.

    Attributes:
        equal: Whether the sets are equal.
        contact_age_s: Seconds since the sender last had contact with the store
            or another data centre.
        shards: Packed shards that differ; empty in the first answer.
    """

    TAG = "WithdrawalsAnswer"

    equal: bool
    contact_age_s: float
    shards: tuple[bytes, ...] = ()
