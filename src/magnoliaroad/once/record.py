"""The record of an attempt, as the group keeps it."""

from typing import Any, NamedTuple

import msgpack
import msgspec

from magnoliaroad.groups import GroupEntry
from magnoliaroad.once.attempt import Attempt
from magnoliaroad.once.conclusion import Conclusion

KIND = "once"


class IntentRecord(NamedTuple):
    """State of an intent; the newest one counts.

    Attributes:
        attempt: The newest attempt to run the intent.
        begun_at: When the attempt began, in seconds since 1970.
        conclusion: How it ended; ``None`` until that is known.
    """

    attempt: Attempt
    begun_at: float
    conclusion: Conclusion | None = None


def pack_record(record: IntentRecord) -> bytes:
    """Returns ``record`` as msgpack."""
    return msgpack.packb(msgspec.to_builtins(record, builtin_types=(bytes,)))


def unpack_record(data: bytes) -> IntentRecord:
    """Returns the record in ``data``; raises ``ValueError`` for other data."""
    fields: Any = msgpack.unpackb(data)
    return msgspec.convert(fields, IntentRecord)


def latest_records(entries: list[GroupEntry]) -> dict[str, GroupEntry]:
    """Returns the newest entry of each key: of the highest fence, then sequence."""
    latest: dict[str, GroupEntry] = {}
    for entry in entries:
        known = latest.get(entry.key)
        if known is None or _rank(entry) > _rank(known):
            latest[entry.key] = entry
    return latest


def _rank(entry: GroupEntry) -> tuple[int, int]:
    return entry.fence, entry.sequence
