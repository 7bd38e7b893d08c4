"""The end of a conversation, from which a request's fingerprint is computed."""

from typing import Any

RECENT_CHARS = 4096


def recent_text(messages: list[dict[str, Any]]) -> str:
    """Returns the last ``RECENT_CHARS`` characters of ``messages``, with roles."""
    parts: list[str] = []
    size = 0
    for message in reversed(messages):
        text = str(message.get("content") or "")[-RECENT_CHARS:]
        parts.append(f"{message.get('role')}: {text}")
        size += len(parts[-1])
        if size >= RECENT_CHARS:
            break
    return "\n".join(reversed(parts))[-RECENT_CHARS:]
