"""Quarantine decisions by fingerprint, merged independently of their order."""

import math
from collections.abc import Iterable

import msgpack
import msgspec
import xxhash

from magnoliaroad.decoding import unpack
from magnoliaroad.quarantine.entry import QuarantineEntry, QuarantineState

# A decision to block wins over a decision to run alone that was made up to this many
# seconds later: a host with less evidence may decide slightly later.
BLOCK_PRECEDENCE_S = 2.0
# Maximum number of entries; the newest are kept. Their size stays far below the
# store's limit of 1 MB per value.
MAX_ENTRIES = 2_000


class Blocklist:
    """Decisions by fingerprint; merging is idempotent and commutative."""

    def __init__(self, entries: Iterable[QuarantineEntry] = ()) -> None:
        self._entries: dict[str, QuarantineEntry] = {}
        self._digest: int | None = 0
        self._earliest_expiry = math.inf
        self.merge(entries)

    def merge(self, entries: Iterable[QuarantineEntry]) -> list[QuarantineEntry]:
        """Merges ``entries``; returns those that changed the blocklist."""
        changed = []
        for entry in entries:
            if self._is_newer(entry):
                self._entries[entry.fingerprint] = entry
                changed.append(entry)
                self._digest = None
                self._earliest_expiry = min(self._earliest_expiry, entry.until)
        return changed

    def expire(self, now: float) -> None:
        """Drops expired entries, then the oldest ones beyond ``MAX_ENTRIES``."""
        if now < self._earliest_expiry and len(self._entries) <= MAX_ENTRIES:
            return
        kept = [entry for entry in self.all() if entry.until > now][-MAX_ENTRIES:]
        self._entries = {entry.fingerprint: entry for entry in kept}
        self._earliest_expiry = min((entry.until for entry in kept), default=math.inf)
        self._digest = None

    def state_of(self, fingerprint: str, now: float) -> QuarantineState:
        """Returns the state of ``fingerprint`` at ``now``."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.until <= now:
            return QuarantineState.CLEARED
        return entry.state

    def get(self, fingerprint: str) -> QuarantineEntry | None:
        """Returns the entry for ``fingerprint``, expired or not, or ``None``."""
        return self._entries.get(fingerprint)

    def all(self) -> list[QuarantineEntry]:
        """Returns all entries, oldest first."""
        return sorted(
            self._entries.values(),
            key=lambda entry: (entry.decided_at, entry.fingerprint),
        )

    @property
    def digest(self) -> int:
        """Hash of all entries, equal for equal blocklists; 0 if empty."""
        if self._digest is None:
            packed = pack_entries(self.all())
            self._digest = xxhash.xxh3_64_intdigest(packed) if self._entries else 0
        return self._digest

    def _is_newer(self, entry: QuarantineEntry) -> bool:
        known = self._entries.get(entry.fingerprint)
        return known is None or _precedence(entry) > _precedence(known)


def _precedence(entry: QuarantineEntry) -> tuple[float, str, float, str]:
    offset_s = BLOCK_PRECEDENCE_S if entry.state is QuarantineState.ALONE else 0.0
    return entry.decided_at - offset_s, entry.state, entry.until, entry.route


def pack_entries(entries: Iterable[QuarantineEntry]) -> bytes:
    """Returns ``entries`` as msgpack."""
    return msgpack.packb(msgspec.to_builtins(list(entries)))


def unpack_entries(data: bytes) -> list[QuarantineEntry]:
    """Returns the entries in ``data``; raises ``ValueError`` for other data."""
    return unpack(data, list[QuarantineEntry])
