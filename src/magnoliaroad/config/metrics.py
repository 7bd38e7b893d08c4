"""Metrics of the configuration's distribution."""

from magnoliaroad.metrics import Counter, Gauge

REVISION = Gauge("config_revision", "Revision of the configuration in force.")
STORE_CALLS = Counter("config_store_calls_total", "Calls on the store, by operation.")
TAKEN = Counter("config_taken_total", "Configurations taken, by source.")
IGNORED = Counter(
    "config_ignored_total", "Heads not taken, by reason: older, unreadable, partial."
)
WATCHING = Gauge("config_watching", "1 while this host watches the store.")
