"""Builds a complete answer from the events of an engine's stream."""

import contextlib
from collections.abc import Iterator
from typing import Any, NamedTuple

from magnoliaroad.decoding import Undecodable, decode_json
from magnoliaroad.routing import Usage
from magnoliaroad.targets import TargetError
from magnoliaroad.verdict import Verdict

DATA_FIELD = b"data: "
# Fields of the first chunk that the whole answer has.
ID_FIELDS = ("id", "created")
# How text is encoded and decoded that JSON may hold and UTF-8 may not.
SURROGATES = "surrogatepass"
# What an empty tool call takes, in bytes.
TOOL_CALL_BYTES = 600


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


class CompletionBuilder:
    """Joins the chunks of a stream as they arrive, and keeps only what they add.

    Attributes:
        size_bytes: About what it holds, in bytes.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._text = bytearray()
        self._calls: dict[int, dict[str, Any]] = {}
        self._first: dict[str, Any] | None = None
        self._finish_reason = "stop"
        self._usage = Usage()

    def add(self, events: bytes) -> None:
        """Adds complete server-sent events.

        Raises:
            TargetError: An event is not a valid chunk.
        """
        lines = [line for line in events.split(b"\n") if line.startswith(DATA_FIELD)]
        with _invalid_events():
            for line in lines:
                self._add_chunk(decode_json(line[len(DATA_FIELD) :]))

    def build(self) -> Completion:
        """Returns the completion that all chunks make up.

        Raises:
            TargetError: They make up none.
        """
        first = self._first or {}
        with _invalid_events():
            message = _message(self._text.decode(errors=SURROGATES), self._calls)
        return Completion(
            answer_id=first.get("id", ""),
            created=first.get("created", 0),
            message=message,
            finish_reason=self._finish_reason,
            usage=self._usage,
        )

    def _add_chunk(self, chunk: dict[str, Any]) -> None:
        for choice in chunk.get("choices") or ():
            delta = choice.get("delta") or {}
            self._add_text(delta.get("content") or "")
            for call in delta.get("tool_calls") or ():
                self._add_tool_call(call)
            self._finish_reason = choice.get("finish_reason") or self._finish_reason
        if chunk.get("usage"):
            self._usage = _read_usage(chunk["usage"])
        if self._first is None:
            self._first = {name: chunk[name] for name in ID_FIELDS if name in chunk}

    def _add_text(self, text: str) -> None:
        data = text.encode(errors=SURROGATES)
        self._text += data
        self.size_bytes += len(data)

    def _add_tool_call(self, delta: dict[str, Any]) -> None:
        call = self._calls.get(delta.get("index", 0))
        if call is None:
            call = self._calls[delta.get("index", 0)] = {
                "id": "",
                "type": "function",
                "function": {"name": "", "arguments": ""},
            }
            self.size_bytes += TOOL_CALL_BYTES
        call["id"] = delta.get("id") or call["id"]
        function = delta.get("function") or {}
        for name in ("name", "arguments"):
            added = function.get(name) or ""
            call["function"][name] += added
            self.size_bytes += len(added)


@contextlib.contextmanager
def _invalid_events() -> Iterator[None]:
    """Raises what invalid events lead to as the target's failure."""
    try:
        yield
    except (Undecodable, AttributeError, TypeError) as exc:
        raise TargetError(
            f"invalid event in the engine's stream: {exc}", Verdict.MAY_HAVE_RUN
        ) from exc


def _message(text: str, calls: dict[int, dict[str, Any]]) -> dict[str, Any]:
    message: dict[str, Any] = {"role": "assistant", "content": text}
    if calls:
        message["tool_calls"] = [calls[index] for index in sorted(calls)]
    return message


def _read_usage(fields: dict[str, Any]) -> Usage:
    details = fields.get("prompt_tokens_details") or {}
    return Usage(
        prompt_tokens=fields.get("prompt_tokens", 0),
        cached_tokens=details.get("cached_tokens", 0),
        completion_tokens=fields.get("completion_tokens", 0),
    )
