"""Metrics of the record hosts."""

from magnoliaroad.metrics import Counter

REFUSED = Counter(
    "records_refused_total", "Records that the store does not accept, kept on disk."
)
