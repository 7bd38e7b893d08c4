"""Enforces the rate and burst of each team across all hosts."""

from magnoliaroad.limits.bucket import TokenBucket
from magnoliaroad.limits.limiter import Limiter
from magnoliaroad.limits.protocol import ShareProtocol
from magnoliaroad.limits.service import LimitService
from magnoliaroad.limits.settings import LimitSettings

__all__ = [
    "LimitService",
    "LimitSettings",
    "Limiter",
    "ShareProtocol",
    "TokenBucket",
]
