"""Metrics of groups."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

OWNED = Gauge("groups_owned", "Groups that this host owns and may act for.")
WAITING = Gauge("groups_waiting", "Groups given to this host but not yet taken over.")
COPIED_BYTES = Gauge("groups_copied_bytes", "Bytes of records held on this host.")
BEHIND = Gauge("groups_copies_behind", "Copies that may lack records of an owner here.")
TAKEOVERS = Counter("groups_takeovers_total", "Groups that this host took over.")
TAKEOVER_SECONDS = Histogram(
    "groups_takeover_seconds",
    "Time from learning of an ownership to acting on it.",
    buckets=[0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0],
)
NOT_COPIED = Counter(
    "groups_not_copied_total", "Records that too few copies confirmed in time."
)
SUSPECTED = Gauge("groups_suspected_hosts", "Hosts that do not answer this one.")
