"""Messages that distribute withdrawn keys between hosts."""

from typing import NamedTuple


class WithdrawalNotice(NamedTuple):
    """Fingerprints of newly withdrawn keys."""

    fingerprints: tuple[bytes, ...]


class WithdrawalAck(NamedTuple):
    """Confirms that the sender refuses all keys of the notice."""

    host: str


class WithdrawalsRequest(NamedTuple):
    """Compares the sender's set of withdrawn keys with the receiver's.

    Attributes:
        checksum: Checksum of the sender's whole set.
        shard_checksums: Checksum of each shard; empty in the first request.
    """

    TAG = "WithdrawalsAsk"

    checksum: int
    shard_checksums: tuple[int, ...] = ()


class WithdrawalsReply(NamedTuple):
    """The sender's shards that differ from those of the request.

    Attributes:
        equal: Whether the sets are equal.
        contact_age_s: Seconds since the sender last had contact with the store
            or another data centre.
        shards: Packed shards that differ; empty in the first reply.
    """

    TAG = "WithdrawalsAnswer"

    equal: bool
    contact_age_s: float
    shards: tuple[bytes, ...] = ()
