"""Token usage of a finished request."""

from typing import NamedTuple


class Usage(NamedTuple):
    """Token counts reported by an engine, and whether the request failed.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Prompt tokens read from the engine's prefix cache.
        completion_tokens: Tokens generated for the answer.
        failed: Whether the target failed the request.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    failed: bool = False
