"""A program's budget as it lies in the store."""

from typing import NamedTuple

import msgpack


class BudgetRecord(NamedTuple):
    """Which host may hand out how many of a program's tokens.

    A claim is written before any of its tokens is handed out. It counts the tokens
    that were handed out and those that may still be, so the claims of hosts that are
    gone count as spent.

    Attributes:
        limit: Tokens that all turns of the program may generate.
        claims: Tokens claimed so far, by incarnation of a host.
    """

    limit: int
    claims: dict[str, int]

    @property
    def free(self) -> int:
        """Tokens that nobody has claimed."""
        return self.limit - sum(self.claims.values())

    def claim(self, holder: str, tokens: int) -> "BudgetRecord":
        """Returns the record with ``tokens`` more for ``holder``."""
        claims = {**self.claims, holder: self.claims.get(holder, 0) + tokens}
        return self._replace(claims=claims)

    def pack(self) -> bytes:
        """Returns the record as msgpack."""
        return msgpack.packb((self.limit, self.claims))


def unpack_budget(data: bytes) -> BudgetRecord:
    """Returns the record in ``data``; raises ``ValueError`` for other data."""
    fields = msgpack.unpackb(data)
    if not isinstance(fields, list) or len(fields) != 2:
        raise ValueError(f"not a budget: {fields!r:.80}")
    return BudgetRecord(*fields)


def claim_size(record: BudgetRecord, needed: int) -> int:
    """Returns how many tokens to claim when ``needed`` are.

    Half of what is free spares most programs a second claim, and leaves enough for
    another host to go on if this one is lost.
    """
    return min(record.free, max(needed, record.free // 2))
