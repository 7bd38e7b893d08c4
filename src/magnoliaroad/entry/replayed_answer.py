"""Replays the stored answer of a turn that was sent again."""

import time
from typing import Any

import msgspec

from magnoliaroad.entry.completion import DATA_FIELD, Completion
from magnoliaroad.entry.events import SEPARATOR
from magnoliaroad.routing import Usage


def replayed_completion(answer_id: str, message: dict[str, Any]) -> Completion:
    """Returns a completion with the stored ``message`` and a usage of 0 tokens."""
    reason = "tool_calls" if message.get("tool_calls") else "stop"
    return Completion(answer_id, int(time.time()), message, reason, Usage())


def replayed_events(model: str, completion: Completion) -> bytes:
    """Returns the events that stream ``completion``, without ``[DONE]``."""
    calls = completion.message.get("tool_calls") or []
    delta = dict(completion.message)
    if calls:
        delta["tool_calls"] = [{"index": i, **call} for i, call in enumerate(calls)]
    choices = ((delta, None), ({}, completion.finish_reason))
    return b"".join(_event(model, completion, *choice) for choice in choices)


def _event(
    model: str, completion: Completion, delta: dict[str, Any], reason: str | None
) -> bytes:
    chunk = {
        "id": completion.answer_id,
        "object": "chat.completion.chunk",
        "created": completion.created,
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
    }
    return DATA_FIELD + msgspec.json.encode(chunk) + SEPARATOR
