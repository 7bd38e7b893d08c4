"""A target behind a route."""

from typing import NamedTuple


class Target(NamedTuple):
    """A model engine or plain service behind a route.

    Attributes:
        name: Unique name.
        route: Route that the target serves.
        url: Base URL, with an IP address.
        data_centre: Data centre of the target.
        fenced: Whether the target rejects orders with an outdated fencing token.
        draining: Whether the target receives no new requests.
    """

    name: str
    route: str
    url: str
    data_centre: str
    fenced: bool = False
    draining: bool = False
