"""Requests to model engines and plain services."""

from magnoliaroad.targets.answer import TargetAnswer
from magnoliaroad.targets.client import TargetClient
from magnoliaroad.targets.crash import looks_crashed
from magnoliaroad.targets.errors import (
    AnswerCut,
    TargetError,
    TargetFull,
    WrongTarget,
)
from magnoliaroad.targets.request import TargetRequest

__all__ = [
    "AnswerCut",
    "TargetAnswer",
    "TargetClient",
    "TargetError",
    "TargetFull",
    "TargetRequest",
    "WrongTarget",
    "looks_crashed",
]
