"""How a turn ended."""

from typing import Any, NamedTuple

from magnoliaroad.verdict import Verdict


class Outcome(NamedTuple):
    """Result of running a turn on an engine.

    Attributes:
        verdict: Whether the turn ran.
        answer: The assistant's message; ``None`` without a complete answer.
        tokens: Tokens used, as reported by the engine; 0 if unknown.
        prompt_tokens: Prompt tokens among them; 0 if unknown.
        target: Name of the engine, which may now hold memory of the program;
            empty if unknown.
    """

    verdict: Verdict
    answer: dict[str, Any] | None = None
    tokens: int = 0
    prompt_tokens: int = 0
    target: str = ""
