"""Log lines as JSON."""

import json
from typing import Any

import msgspec

MAX_EXCEPTION_CHARS = 1000
MAX_TRACE_CHARS = 4000


def json_line(record: Any, trace: str = "") -> str:
    """Returns a loguru record as one line of JSON.

    Args:
        record: The record.
        trace: Traceback of its exception; only the end of a long one is kept.
    """
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)[:MAX_EXCEPTION_CHARS]
        fields["trace"] = trace[-MAX_TRACE_CHARS:]
    return encode_line(fields)


def encode_line(fields: dict[str, Any]) -> str:
    """Returns fields as one line of JSON."""
    try:
        return msgspec.json.encode(fields, enc_hook=str).decode() + "\n"
    except UnicodeEncodeError:
        # Headers that are not UTF-8 are decoded to surrogates, which are escaped here.
        return json.dumps(fields, default=str, separators=(",", ":")) + "\n"
