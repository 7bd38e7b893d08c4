"""Filters the headers that are forwarded between callers and targets."""

from collections.abc import Mapping

from multidict import CIMultiDict

# Request headers that are forwarded to targets; none carries a credential or is
# hop-by-hop.
FORWARDED_HEADERS = (
    "Accept",
    "Accept-Encoding",
    "Accept-Language",
    "Cache-Control",
    "Content-Language",
    "Content-Type",
    "Idempotency-Key",
    "If-Match",
    "If-Modified-Since",
    "If-None-Match",
    "If-Unmodified-Since",
    "Range",
    "traceparent",
    "tracestate",
    "User-Agent",
)
# Headers in an answer that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def request_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns the headers of a caller's request that are forwarded to a target."""
    forwarded = {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
    # Otherwise the client library would add an Accept-Encoding of its own, with
    # encodings that the caller may not support.
    forwarded.setdefault("Accept-Encoding", "identity")
    return forwarded


def answer_headers(headers: CIMultiDict[str]) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers of a target's answer, in order."""
    connection_options = ",".join(headers.getall("Connection", ()))
    dropped_names = HOP_BY_HOP_HEADERS | {
        name.strip().lower() for name in connection_options.split(",")
    }
    return tuple(
        (str(name), value)
        for name, value in headers.items()
        if name.lower() not in dropped_names
    )
