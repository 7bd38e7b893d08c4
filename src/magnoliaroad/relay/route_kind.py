"""What may be repeated on a route."""

import enum


class RouteKind(enum.StrEnum):
    """How often a target may run a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
