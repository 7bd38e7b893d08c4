"""Upper bounds of the tokens of a prompt."""

from typing import Any

import msgspec

# A tokenizer never makes more tokens than there are bytes; the chat template
# adds marks around each message and at the end of the prompt.
TEMPLATE_TOKENS_PER_MESSAGE = 16
TEMPLATE_TOKENS_PER_PROMPT = 64
# Images and sounds take tokens beyond the bytes of their references.
MEDIA_TOKENS_PER_PART = 32_768


def prompt_token_bound(messages: list[dict[str, Any]], extra_bytes: int = 0) -> int:
    """Returns a number of tokens that the prompt cannot exceed."""
    return TEMPLATE_TOKENS_PER_PROMPT + extra_bytes + messages_token_bound(messages)


def messages_token_bound(messages: list[dict[str, Any]]) -> int:
    """Returns a number of tokens that ``messages`` cannot add to a prompt."""
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
