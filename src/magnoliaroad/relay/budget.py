"""The record of a program's token budget in the store."""

from typing import NamedTuple

import msgpack

from magnoliaroad.decoding import unpack


class BudgetRecord(NamedTuple):
    """How many tokens of a program's budget each host has claimed.

    A host writes a claim before it spends any of the claimed tokens. A claim covers
    both spent and unspent tokens, so the claim of a host that was lost counts as spent.

    Attributes:
        limit: Tokens that all turns of the program may generate.
        claims: Tokens claimed so far, by incarnation of a host.
    """

    limit: int
    claims: dict[str, int]

    @property
    def free(self) -> int:
        """Tokens that no host has claimed."""
        return self.limit - sum(self.claims.values())

    def with_claim(self, holder: str, tokens: int) -> "BudgetRecord":
        """Returns a record in which ``holder`` has claimed ``tokens`` more."""
        claims = {**self.claims, holder: self.claims.get(holder, 0) + tokens}
        return self._replace(claims=claims)

    def pack(self) -> bytes:
        """Returns the record as msgpack."""
        return msgpack.packb((self.limit, self.claims))


def unpack_budget(data: bytes) -> BudgetRecord:
    """Returns the record packed in ``data``.

    Raises:
        ValueError: ``data`` is not a budget record.
    """
    return unpack(data, BudgetRecord)


def claim_size(record: BudgetRecord, needed: int, part: float = 0.5) -> int:
    """Returns how many tokens to claim when at least ``needed`` are required.

    Claiming half of the free tokens spares most programs a second claim and leaves
    enough for another host to continue if this one is lost.

    Args:
        record: The record as stored.
        needed: Least number of tokens to claim.
        part: Part of the free tokens to claim.
    """
    return min(record.free, max(needed, int(record.free * part)))
