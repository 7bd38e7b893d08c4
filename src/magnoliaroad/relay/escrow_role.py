"""Decides whether a record host may grant tokens for its data centre."""

from collections.abc import Collection
from typing import NamedTuple

import msgpack

from magnoliaroad.decoding import unpack

# Time without a confirmation from the store after which a host stops granting.
CONFIRMATION_LIFETIME_S = 120.0
# Time that a host waits before it grants in place of another: the other one may still
# grant for the lifetime of its confirmation, and its programs run for as long as the
# store keeps their budgets.
TAKEOVER_WAIT_S = 300.0


class EscrowHolder(NamedTuple):
    """The host that grants tokens for a data centre, as the store names it.

    Attributes:
        host: Name of the host.
        disk: Identifier of the disk on which its grants are; a wiped disk gets another.
    """

    host: str
    disk: str

    def pack(self) -> bytes:
        """Returns the entry for the store."""
        return msgpack.packb(self)


def unpack_holder(data: bytes) -> EscrowHolder:
    """Returns the holder packed in ``data``.

    Raises:
        ValueError: ``data`` is not the entry of a holder.
    """
    return unpack(data, EscrowHolder)


class EscrowRole:
    """Tracks whether this host may grant tokens for its data centre.

    Each data centre has one such host, named in the store. Grants are kept on its disk
    alone; if the disk is lost, so are they. The tokens of programs that may have got
    grants from it are then not granted again: the next holder waits until they ended.

    Args:
        holder: This host and its disk.
        first_start: Whether the whole system starts for the first time, so that no
            tokens were granted before.
        settled: Whether an earlier run of this host on the same disk has granted.

    Attributes:
        settled: Whether no other host can still have programs with grants.
    """

    def __init__(
        self, holder: EscrowHolder, first_start: bool, settled: bool = False
    ) -> None:
        self.holder = holder
        self.settled = settled
        self._first_start = first_start
        self._is_first_holder = False
        self._confirmed_at: float | None = None
        self._waits_until: float | None = None

    def may_grant(self, now: float) -> bool:
        """Returns whether this host grants tokens at ``now``."""
        if not self.settled or self._confirmed_at is None:
            return False
        return now - self._confirmed_at <= CONFIRMATION_LIFETIME_S

    def check(
        self, now: float, named: EscrowHolder | None, listed: Collection[str]
    ) -> bool:
        """Applies the store's entry; returns whether to register this host.

        Args:
            now: Time before the entry was read, in seconds.
            named: Holder that the store names; ``None`` without an entry.
            listed: Hosts with an entry in the store.
        """
        if named == self.holder:
            self._confirm(now)
            return False
        self._confirmed_at = self._waits_until = None
        self.settled = False
        self._is_first_holder = named is None and self._first_start
        if named is None or named.host == self.holder.host:
            return True
        return named.host not in listed

    def registered(self, now: float) -> None:
        """Applies that the store now names this host, after ``check`` asked for it."""
        self._confirm(now)

    def _confirm(self, now: float) -> None:
        self._confirmed_at = now
        self.settled = self.settled or self._is_first_holder
        if self._waits_until is None:
            self._waits_until = now + TAKEOVER_WAIT_S
        self.settled = self.settled or now >= self._waits_until
