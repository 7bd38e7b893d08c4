"""Metrics of the quarantine."""

from magnoliaroad.metrics import Counter, Gauge

CRASHES = Counter(
    "quarantine_crashes_total", "Crashes of targets that this host reported."
)
BLOCKED = Gauge("quarantine_blocked", "Fingerprints that are refused.")
REFUSED = Counter("quarantine_refused_total", "Requests refused, by state.")
