"""Upper bounds of the number of tokens in a prompt."""

from typing import Any

import msgspec

# A tokenizer never yields more tokens than the text has bytes. The chat template
# adds control tokens around each message and at the end of the prompt.
TEMPLATE_TOKENS_PER_MESSAGE = 16
TEMPLATE_TOKENS_PER_PROMPT = 64
# An image or audio part can use more tokens than its reference has bytes.
MEDIA_TOKENS_PER_PART = 32_768


def prompt_token_bound(messages: list[dict[str, Any]], extra_bytes: int = 0) -> int:
    """Returns an upper bound of the prompt's tokens."""
    return TEMPLATE_TOKENS_PER_PROMPT + extra_bytes + messages_token_bound(messages)


def messages_token_bound(messages: list[dict[str, Any]]) -> int:
    """Returns an upper bound of the tokens that ``messages`` add to a prompt."""
    return sum(_message_token_bound(message) for message in messages)


def _message_token_bound(message: dict[str, Any]) -> int:
    size = len(msgspec.json.encode(message))
    return (
        TEMPLATE_TOKENS_PER_MESSAGE
        + size
        + MEDIA_TOKENS_PER_PART * _count_media_parts(message)
    )


def _count_media_parts(message: dict[str, Any]) -> int:
    content = message.get("content")
    if not isinstance(content, list):
        return 0
    return sum(
        not (isinstance(part, dict) and part.get("type") == "text") for part in content
    )
