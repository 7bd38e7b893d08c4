"""Parses chat requests and builds the requests that are sent to engines."""

from typing import Any, NamedTuple

import msgspec
from aiohttp import web

from magnoliaroad.decoding import Undecodable, decode_json
from magnoliaroad.entry.events import ResumePoint
from magnoliaroad.entry.refused import Refused, bad_request
from magnoliaroad.entry.request_id import PROGRAM_HEADER, REQUEST_HEADER, new_id
from magnoliaroad.keys import Caller
from magnoliaroad.programs import Turn
from magnoliaroad.programs.ids import full_id
from magnoliaroad.routing import Placement
from magnoliaroad.targets import TargetRequest

TURN_HEADER = "X-Program-Turn"
PARENT_HEADER = "X-Program-Parent"
APPEND_HEADER = "X-Program-Append"
APPEND_NEW = "new"
# Body fields that do not add to the length of the prompt.
NOT_IN_PROMPT = frozenset(
    (
        "frequency_penalty",
        "logprobs",
        "max_tokens",
        "messages",
        "model",
        "n",
        "presence_penalty",
        "priority",
        "seed",
        "stop",
        "stream",
        "stream_options",
        "temperature",
        "top_logprobs",
        "top_p",
        "user",
    )
)
DEADLINE_HEADER = "X-Deadline-S"


class ChatRequest(NamedTuple):
    """A validated chat request.

    Attributes:
        request_id: Unique id that the system gives the request.
        caller: Caller that sent the request.
        body: Decoded JSON body of the request.
        program: Program id; a new one is generated if the caller sent none.
        single: Whether the program consists of this request only, because the
            caller sent no program id.
        turn: Number of the turn, from 1; ``None`` if the caller sent none.
        parent: Id of the parent program, whose budget is used; empty for none.
        deadline_s: Time in seconds within which the caller needs the answer; 0
            means no limit.
        new_only: Whether the body has only new messages, which are appended to
            the stored conversation.
    """

    request_id: str
    caller: Caller
    body: dict[str, Any]
    program: str
    single: bool
    turn: int | None = None
    parent: str = ""
    deadline_s: float = 0.0
    new_only: bool = False

    @property
    def extra_bytes(self) -> int:
        """Size in bytes of the JSON fields that add to the prompt, besides messages."""
        extra = {k: v for k, v in self.body.items() if k not in NOT_IN_PROMPT}
        return len(msgspec.json.encode(extra)) if extra else 0

    @property
    def model(self) -> str:
        """Name of the requested route."""
        return self.body["model"]

    @property
    def streams(self) -> bool:
        """Whether the caller asked for a stream of events."""
        return bool(self.body.get("stream"))

    @property
    def headers(self) -> dict[str, str]:
        """Headers with the ids of the request and its program."""
        return {PROGRAM_HEADER: self.program, REQUEST_HEADER: self.request_id}


def read_chat(req: web.Request, caller: Caller, data: bytes) -> ChatRequest:
    """Parses the headers of ``req`` and its body ``data``.

    Raises:
        Refused: A header or the body is invalid.
    """
    program = req.headers.get(PROGRAM_HEADER, "")
    parent = req.headers.get(PARENT_HEADER, "")
    return ChatRequest(
        request_id=new_id(),
        caller=caller,
        body=_read_body(data),
        program=full_id(program or new_id(), parent),
        single=not program,
        turn=_read_turn(req.headers.get(TURN_HEADER)),
        parent=parent,
        new_only=req.headers.get(APPEND_HEADER) == APPEND_NEW,
        deadline_s=_read_deadline(req.headers.get(DEADLINE_HEADER)),
    )


def engine_request(
    chat: ChatRequest, turn: Turn, placement: Placement
) -> TargetRequest:
    """Returns the request for the engine, which always streams and reports usage."""
    body = {
        **chat.body,
        "messages": turn.messages,
        "max_tokens": turn.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "priority": placement.priority,
    }
    return TargetRequest(
        method="POST",
        url=f"{placement.target.url}/v1/chat/completions",
        headers={"Content-Type": "application/json", **chat.headers},
        body=msgspec.json.encode(body),
    )


def resume_request(
    chat: ChatRequest, base_url: str, resume_point: ResumePoint
) -> TargetRequest:
    """Returns the request to resume an interrupted stream after ``resume_point``."""
    body = {"request": resume_point.engine_request, "after": resume_point.last_event}
    return TargetRequest(
        method="POST",
        url=f"{base_url}/v1/resume",
        headers={"Content-Type": "application/json", **chat.headers},
        body=msgspec.json.encode(body),
    )


def _read_body(data: bytes) -> dict[str, Any]:
    try:
        body = decode_json(data)
    except Undecodable as exc:
        raise Refused(bad_request(f"The body is not JSON: {exc}")) from exc
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        raise Refused(bad_request("Field 'model' must be a string."))
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise Refused(bad_request("Field 'messages' must be a list of messages."))
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            text = f"Field 'messages.{index}' must be an object with a 'role'."
            raise Refused(bad_request(text))
    limit = body.get("max_tokens")
    if limit is not None and (not isinstance(limit, int) or limit <= 0):
        raise Refused(bad_request(f"Field 'max_tokens' must be above 0, not {limit}."))
    if body.get("n") not in (None, 1):
        raise Refused(bad_request(f"Field 'n' must be 1, not {body['n']!r}."))
    return body


def _read_turn(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        raise Refused(bad_request(f"{TURN_HEADER} must be a number, not {text!r}."))
    return int(text)


def _read_deadline(text: str | None) -> float:
    if text is None:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        message = f"{DEADLINE_HEADER} must be a number above 0, not {text!r}."
        raise Refused(bad_request(message))
    return seconds
