"""Tokens that other hosts gave up for a program."""

from typing import NamedTuple


class TokenDraw(NamedTuple):
    """What a host got when it asked others for tokens of a program.

    Attributes:
        tokens: Tokens that it got.
        complete: Whether all hosts that may have tokens answered.
    """

    tokens: int
    complete: bool
