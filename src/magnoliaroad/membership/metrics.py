"""Metrics of membership."""

from magnoliaroad.metrics import Counter, Gauge

HOSTS = Gauge("membership_hosts", "Hosts in the roster.")
DRAINING = Gauge("membership_draining_hosts", "Hosts that are shutting down.")
LEAVING_TARGETS = Gauge("membership_leaving_targets", "Targets that are leaving.")
LEASE = Gauge("membership_lease", "1 while the last renewal of the lease succeeded.")
STORE_CALLS = Counter("membership_store_calls_total", "Calls on the store, by type.")
