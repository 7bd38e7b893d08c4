"""A request as it is sent to a target."""

from collections.abc import Mapping
from typing import NamedTuple


class TargetRequest(NamedTuple):
    """What goes to a target.

    Attributes:
        method: HTTP method.
        url: Whole URL.
        headers: Headers; never those that carry a caller's key.
        body: Body, passed through unchanged.
    """

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes
