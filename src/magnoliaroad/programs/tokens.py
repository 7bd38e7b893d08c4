"""Estimates the tokens of a prompt."""

from typing import Any

BYTES_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4


def estimate_tokens(messages: list[dict[str, Any]]) -> int:
    """Returns an estimate of the tokens in ``messages``."""
    total = 0
    for message in messages:
        content = str(message.get("content") or "")
        total += TOKENS_PER_MESSAGE + len(content.encode()) // BYTES_PER_TOKEN
    return total
