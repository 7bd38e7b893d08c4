"""Where a stream has begun."""

from typing import NamedTuple

from magnoliaroad.records.lru_cache import LruCache

# Most streams whose origin a host remembers. A record host of the largest fleet hears
# of some 250 streams a second, and callers resume a stream within seconds.
MAX_STREAMS = 20_000


class StreamOrigin(NamedTuple):
    """The service and the version of the software that began a stream."""

    service: str
    version: str


def origin_cache() -> LruCache[StreamOrigin]:
    """Returns an empty cache of origins by stream."""
    return LruCache(MAX_STREAMS, lambda _: 1)
