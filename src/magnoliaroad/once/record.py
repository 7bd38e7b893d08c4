"""The stored record of an intent and its packed form."""

from typing import NamedTuple

import msgpack
import msgspec

from magnoliaroad.decoding import unpack
from magnoliaroad.groups import GroupEntry
from magnoliaroad.once.attempt import Attempt
from magnoliaroad.once.conclusion import Conclusion

RECORD_KIND = "once"


class IntentRecord(NamedTuple):
    """State of an intent; the latest record is the valid one.

    Attributes:
        attempt: Latest attempt to run the intent.
        begun_at: Start of the attempt in seconds since 1970.
        conclusion: Outcome of the attempt; ``None`` until it is known.
    """

    attempt: Attempt
    begun_at: float
    conclusion: Conclusion | None = None


def pack_record(record: IntentRecord) -> bytes:
    """Returns ``record`` as msgpack."""
    return msgpack.packb(msgspec.to_builtins(record, builtin_types=(bytes,)))


def unpack_record(data: bytes) -> IntentRecord:
    """Returns the record in ``data``.

    Raises:
        ValueError: ``data`` is not a packed record.
    """
    return unpack(data, IntentRecord)


def latest_records(entries: list[GroupEntry]) -> dict[str, GroupEntry]:
    """Returns the entry of each key with the highest fence, then sequence."""
    latest: dict[str, GroupEntry] = {}
    for entry in entries:
        known = latest.get(entry.key)
        if known is None or _rank(entry) > _rank(known):
            latest[entry.key] = entry
    return latest


def _rank(entry: GroupEntry) -> tuple[int, int]:
    return entry.fence, entry.sequence
