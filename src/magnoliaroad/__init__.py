"""A scheduler for agent programs: coordination services and thin daemons."""

from magnoliaroad.refusal import Refusal
from magnoliaroad.verdict import Verdict

__all__ = ["Refusal", "Verdict"]
