"""The kinds of routes."""

import enum


class RouteKind(enum.StrEnum):
    """Kind of a route: idempotent, not idempotent, or streamed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
