"""A turn that was answered, kept to be continued."""

from typing import NamedTuple

import msgpack


class Turn(NamedTuple):
    """What a later turn needs of an answered one.

    Attributes:
        turn_id: Request id of the attempt that answered it.
        team: Team that it belongs to.
        parent: Turn whose chain ``text`` continues; empty if ``text`` is the whole
            chain.
        text: Inputs and outputs in order, as a target receives them.
        target: Target that ran it, which has its prompt in memory.
    """

    turn_id: str
    team: str
    parent: str
    text: bytes
    target: str


def pack_turn(turn: Turn) -> bytes:
    """Returns ``turn`` as msgpack, without its id."""
    return msgpack.packb((turn.team, turn.parent, turn.text, turn.target))


def unpack_turn(turn_id: str, data: bytes) -> Turn:
    """Returns the turn in ``data``; raises ``ValueError`` for other data."""
    fields = msgpack.unpackb(data)
    if not isinstance(fields, list) or len(fields) != 4:
        raise ValueError(f"not a turn: {fields!r:.80}")
    return Turn(turn_id, *fields)
