"""An answered turn that is stored, so that a later turn can continue it."""

from typing import NamedTuple

import msgpack

from magnoliaroad.decoding import unpack


class Turn(NamedTuple):
    """The stored record of one turn.

    Attributes:
        team: Team that it belongs to.
        chain: Ids of the records whose texts come before this one's, oldest first.
        kept_until: Time of day until which all of them and this record are kept at
            least, in seconds; 0 if that is not known.
        text: Input and output, as a target receives them.
        regions: Regions to which the texts of the chain and its own are bound; all if
            it is empty.
    """

    team: str
    chain: tuple[str, ...]
    kept_until: float
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

    Hosts of older builds know no regions. They read turns that are bound to none, and
    refuse the others, which they might send anywhere.

    Where ``kept_until`` stands, older builds have the time at which the chain began. It
    is written as a negative number, which they take for a chain from long ago, so that
    they write it again.
    """
    fields = turn._replace(kept_until=-turn.kept_until)
    return msgpack.packb(fields if turn.regions else fields[:-1])


def unpack_turn(data: bytes) -> Turn:
    """Returns the turn in ``data``; raises ``ValueError`` for other data."""
    turn = unpack(data, Turn)
    return turn._replace(kept_until=max(0.0, -turn.kept_until))
