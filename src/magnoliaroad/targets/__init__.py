"""HTTP client for targets: model engines and plain services."""

from magnoliaroad.targets.answer import TargetAnswer
from magnoliaroad.targets.client import TargetClient
from magnoliaroad.targets.errors import (
    AnswerCut,
    TargetError,
    TargetFull,
    TargetUnreachable,
    WrongTarget,
)
from magnoliaroad.targets.request import TargetRequest
from magnoliaroad.targets.request_end import RequestEnd, classify_failure
from magnoliaroad.targets.response import TargetResponse

__all__ = [
    "AnswerCut",
    "TargetAnswer",
    "TargetResponse",
    "TargetClient",
    "TargetError",
    "TargetFull",
    "TargetRequest",
    "TargetUnreachable",
    "WrongTarget",
    "RequestEnd",
    "classify_failure",
]
