"""Reads what is asked of ``explain`` from the query of an address."""

import re
from collections.abc import Iterable
from typing import NamedTuple

# Longest text of a field, in characters; request lines are limited to 64 KB.
MAX_TEXT_CHARS = 2048
# Most tokens that can be asked for; above the context of any engine.
MAX_TOKENS = 100_000_000
# Id of a request for which none is given; equally good targets are told apart by it.
DEFAULT_REQUEST = "explain"
METHOD = re.compile(r"[A-Za-z]{1,20}")
DIGITS = re.compile(r"[0-9]{1,9}")


class BadQuery(ValueError):
    """A field that is missing, unknown or has no sound value.

    The text never repeats a value: it may be a caller's key in the wrong field.
    """

    def __init__(self, field: str, fault: str) -> None:
        super().__init__(f"{field}: {fault}")


class ExplainQuery(NamedTuple):
    """The request to explain.

    Attributes:
        host: Value of its ``Host`` header.
        path: Its path; a query is left out.
        method: HTTP method.
        team: Name of the team that makes it; empty for none.
        program: Program that it belongs to; empty for none.
        prompt_tokens: Tokens of its prompt; 0 if unknown.
        output_tokens: Most tokens that it may generate; 0 if unknown.
        request: Its id.
    """

    host: str
    path: str
    method: str = "GET"
    team: str = ""
    program: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    request: str = DEFAULT_REQUEST


def read_query(fields: Iterable[tuple[str, str]]) -> ExplainQuery:
    """Returns the request that the fields describe.

    Raises:
        BadQuery: A field is missing, unknown, given twice or has no sound value.
    """
    texts: dict[str, str] = {}
    for name, text in fields:
        if name not in ExplainQuery._fields:
            known = ", ".join(ExplainQuery._fields)
            raise BadQuery(repr(name[:40]), f"unknown field; known are {known}")
        if name in texts:
            raise BadQuery(name, "given twice")
        if len(text) > MAX_TEXT_CHARS or not text.isprintable():
            raise BadQuery(name, f"not {MAX_TEXT_CHARS} printable characters at most")
        texts[name] = text
    for name in ("host", "path"):
        if not texts.get(name):
            raise BadQuery(name, "missing")
    if not texts["path"].startswith("/"):
        raise BadQuery("path", "does not begin with a slash")
    method = texts.get("method", "GET")
    if not METHOD.fullmatch(method):
        raise BadQuery("method", "not an HTTP method")
    return ExplainQuery(
        host=texts["host"],
        path=texts["path"].partition("?")[0],
        method=method.upper(),
        team=texts.get("team", ""),
        program=texts.get("program", ""),
        prompt_tokens=_read_tokens(texts, "prompt_tokens"),
        output_tokens=_read_tokens(texts, "output_tokens"),
        request=texts.get("request") or DEFAULT_REQUEST,
    )


def _read_tokens(texts: dict[str, str], name: str) -> int:
    text = texts.get(name, "0")
    if not DIGITS.fullmatch(text) or int(text) > MAX_TOKENS:
        raise BadQuery(name, f"not a whole number between 0 and {MAX_TOKENS}")
    return int(text)
