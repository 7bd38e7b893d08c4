"""Which headers pass between callers and targets."""

from collections.abc import Mapping

from multidict import CIMultiDict

# Headers of a caller's request that a target receives; none carries a credential
# or belongs to one connection only.
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
# Headers of an answer that belong to one connection only.
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
    """Returns the headers of a caller's request that go to a target."""
    forwarded = {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
    # Without it the client library would ask for encodings the caller can't read.
    forwarded.setdefault("Accept-Encoding", "identity")
    return forwarded


def answer_headers(headers: CIMultiDict[str]) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers of a target's answer, in their order."""
    connection_options = ",".join(headers.getall("Connection", ()))
    dropped_names = HOP_BY_HOP_HEADERS | {
        name.strip().lower() for name in connection_options.split(",")
    }
    return tuple(
        (str(name), value)
        for name, value in headers.items()
        if name.lower() not in dropped_names
    )
