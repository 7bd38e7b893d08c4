"""Fingerprints of requests that ignore ids and times."""

import json
import re
from typing import Any

import xxhash

# Length of the end of a long request that goes into its fingerprint: bytes of a body,
# characters of decoded text.
MAX_CONTENT_BYTES = 32_768

MASK = "*"
VOLATILE_FIELD = re.compile(
    r"(^|[_-])(u?u?id|nonce|seed|time|timestamp|date|created|at|token|user)$"
    r"|(Id|Uuid|At|Time|Timestamp|Date)$",
    re.ASCII,
)
VOLATILE_TEXT = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}"
    r"|\d{4}-\d\d-\d\d([T ]\d\d:\d\d(:\d\d)?(\.\d+)?)?(Z|[+-]\d\d:?\d\d)?"
    r"|\d\d?:\d\d(:\d\d)?(\.\d+)?"
    r"|\b(?=[0-9a-f]*\d)[0-9a-f]{8,}\b"
    r"|\d{5,}",
    re.IGNORECASE | re.ASCII,
)
WHITESPACE = re.compile(r"\s+")
# Numbers whose absolute value is at least this are treated as ids or times.
MIN_VOLATILE_NUMBER = 1e5


def fingerprint_of(route: str, content: Any) -> str:
    """Returns the fingerprint of a request for ``route``.

    Args:
        route: Name of the route or model.
        content: Body as bytes, or any value that JSON can represent.

    Returns:
        32 hexadecimal digits, equal for requests that differ only in ids, times and
        whitespace.
    """
    if isinstance(content, bytes):
        content = _parse(content)
    masked = json.dumps(_mask(_tail(content)), sort_keys=True)
    return xxhash.xxh3_128_hexdigest(f"{route}\n{masked}".encode())


def exact_fingerprint(team: str, method: str, path: str, *body: bytes) -> str:
    """Returns the fingerprint of a request whose body has no known format.

    Args:
        team: Team that sends the request; empty for none.
        method: HTTP method.
        path: Path and query.
        body: Parts of the whole body, in order.

    Returns:
        32 hexadecimal digits, equal for requests that are identical apart from
        their headers.
    """
    digest = xxhash.xxh3_128(f"{team}\n{method} {path}\n".encode())
    for part in body:
        digest.update(part)
    return digest.hexdigest()


def _parse(body: bytes) -> Any:
    text = body.decode(errors="replace")
    if len(body) > MAX_CONTENT_BYTES:
        return text
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return text


def _tail(content: Any) -> Any:
    if isinstance(content, str):
        return content[-MAX_CONTENT_BYTES:]
    if not isinstance(content, list):
        return content
    kept: list[Any] = []
    size = 0
    for item in reversed(content):
        size += len(str(item))
        if size > MAX_CONTENT_BYTES and kept:
            break
        kept.append(item)
    return kept


def _mask(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            name: MASK if VOLATILE_FIELD.search(name) else _mask(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [_mask(item) for item in value]
    if isinstance(value, str):
        text = value[-MAX_CONTENT_BYTES:]
        return WHITESPACE.sub(" ", VOLATILE_TEXT.sub(MASK, text)).strip()
    if isinstance(value, (int, float)) and abs(value) >= MIN_VOLATILE_NUMBER:
        return MASK
    return value
