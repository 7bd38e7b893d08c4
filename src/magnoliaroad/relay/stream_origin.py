"""Where a stream has begun."""

from typing import NamedTuple


class StreamOrigin(NamedTuple):
    """The service and the version of the software that began a stream."""

    service: str
    version: str
