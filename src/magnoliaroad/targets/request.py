"""A request to a target."""

from collections.abc import Mapping
from typing import NamedTuple


class TargetRequest(NamedTuple):
    """An HTTP request to a target.

    Attributes:
        method: HTTP method.
        url: Absolute, encoded URL.
        headers: Headers, without those that carry a caller's API key.
        body: Body, forwarded unchanged.
    """

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes
