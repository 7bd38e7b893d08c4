"""An answer stored for repeats of a call."""

from typing import NamedTuple


class StoredAnswer(NamedTuple):
    """An answer of a target.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers in order, as (name, value).
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
