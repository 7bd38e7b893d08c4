"""An answered turn that is stored, so that a later turn can continue it."""

from typing import NamedTuple

import msgpack

from magnoliaroad.decoding import unpack


class Turn(NamedTuple):
    """The stored record of one turn.

    Attributes:
        team: Team that it belongs to.
        chain: Ids of the records whose texts come before this one's, oldest first.
        chain_started_at: Time of day at which the oldest of them was written, in
            seconds.
        text: Input and output, as a target receives them.
        regions: Regions to which the texts of the chain and its own are bound; all if
            it is empty.
    """

    team: str
    chain: tuple[str, ...]
    chain_started_at: float
    text: bytes
    regions: tuple[str, ...] = ()


class LoadedTurn(NamedTuple):
    """A turn with the text of its whole chain.

    Attributes:
        turn_id: Request id of the attempt that answered it.
        turn: The turn.
        text: Inputs and outputs of its whole chain in order.
    """

    turn_id: str
    turn: Turn
    text: bytes


def pack_turn(turn: Turn) -> bytes:
    """Returns ``turn`` as msgpack.

    Hosts of the previous build know no regions. They read turns that are bound to none,
    and refuse the others, which they might send anywhere.
    """
    return msgpack.packb(turn if turn.regions else turn[:-1])


def unpack_turn(data: bytes) -> Turn:
    """Returns the turn in ``data``; raises ``ValueError`` for other data."""
    return unpack(data, Turn)
