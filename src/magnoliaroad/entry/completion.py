"""Builds a complete answer from the events of an engine's stream."""

from typing import Any, NamedTuple

from magnoliaroad.decoding import Undecodable, decode_json
from magnoliaroad.routing import Usage
from magnoliaroad.targets import TargetError
from magnoliaroad.verdict import Verdict

DATA_FIELD = b"data: "


class Completion(NamedTuple):
    """The complete answer of an engine.

    Attributes:
        answer_id: Id of the answer, assigned by the engine.
        created: Creation time reported by the engine, in seconds since 1970.
        message: The assistant's message.
        finish_reason: Why generation ended, such as ``stop`` or ``tool_calls``.
        usage: Token counts reported by the engine.
    """

    answer_id: str
    created: int
    message: dict[str, Any]
    finish_reason: str
    usage: Usage


def read_completion(events: bytes) -> Completion:
    """Parses server-sent ``events`` and joins their chunks into a completion.

    Raises:
        TargetError: An event is not a valid chunk.
    """
    lines = [line for line in events.split(b"\n") if line.startswith(DATA_FIELD)]
    try:
        chunks = [decode_json(line[len(DATA_FIELD) :]) for line in lines]
        return _join_chunks(chunks)
    except (Undecodable, AttributeError, TypeError) as exc:
        raise TargetError(
            f"invalid event in the engine's stream: {exc}", Verdict.MAY_HAVE_RUN
        ) from exc


def _join_chunks(chunks: list[dict[str, Any]]) -> Completion:
    text: list[str] = []
    calls: dict[int, dict[str, Any]] = {}
    finish_reason = "stop"
    usage = Usage()
    for chunk in chunks:
        for choice in chunk.get("choices") or ():
            delta = choice.get("delta") or {}
            text.append(delta.get("content") or "")
            _add_tool_calls(calls, delta.get("tool_calls") or ())
            finish_reason = choice.get("finish_reason") or finish_reason
        if chunk.get("usage"):
            usage = _read_usage(chunk["usage"])
    first = chunks[0] if chunks else {}
    return Completion(
        answer_id=first.get("id", ""),
        created=first.get("created", 0),
        message=_message("".join(text), calls),
        finish_reason=finish_reason,
        usage=usage,
    )


def _message(text: str, calls: dict[int, dict[str, Any]]) -> dict[str, Any]:
    message: dict[str, Any] = {"role": "assistant", "content": text}
    if calls:
        message["tool_calls"] = [calls[index] for index in sorted(calls)]
    return message


def _add_tool_calls(calls: dict[int, dict[str, Any]], deltas: Any) -> None:
    for delta in deltas:
        empty = {
            "id": "",
            "type": "function",
            "function": {"name": "", "arguments": ""},
        }
        call = calls.setdefault(delta.get("index", 0), empty)
        call["id"] = delta.get("id") or call["id"]
        function = delta.get("function") or {}
        call["function"]["name"] += function.get("name") or ""
        call["function"]["arguments"] += function.get("arguments") or ""


def _read_usage(fields: dict[str, Any]) -> Usage:
    details = fields.get("prompt_tokens_details") or {}
    return Usage(
        prompt_tokens=fields.get("prompt_tokens", 0),
        cached_tokens=details.get("cached_tokens", 0),
        completion_tokens=fields.get("completion_tokens", 0),
    )
