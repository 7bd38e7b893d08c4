"""HTTP client for targets: model engines and plain services."""

from magnoliaroad.targets.answer import TargetAnswer
from magnoliaroad.targets.client import TargetClient
from magnoliaroad.targets.errors import (
    AnswerCut,
    TargetError,
    TargetFull,
    WrongTarget,
)
from magnoliaroad.targets.request import TargetRequest
from magnoliaroad.targets.request_end import RequestEnd, end_of

__all__ = [
    "AnswerCut",
    "TargetAnswer",
    "TargetClient",
    "TargetError",
    "TargetFull",
    "TargetRequest",
    "WrongTarget",
    "RequestEnd",
    "end_of",
]
