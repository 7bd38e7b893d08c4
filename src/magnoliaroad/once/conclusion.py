"""The outcome of an attempt."""

from typing import NamedTuple

from magnoliaroad.once.stored import StoredAnswer
from magnoliaroad.verdict import Verdict


class Conclusion(NamedTuple):
    """Outcome of an attempt that has ended.

    Attributes:
        verdict: Whether the target ran the call.
        answer: The target's answer; ``None`` if there is none or it is too
            large to store.
        digest: SHA-256 of the body of an answer that is too large to store.
    """

    verdict: Verdict
    answer: StoredAnswer | None = None
    digest: str = ""
