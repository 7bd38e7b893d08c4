"""Parts of heartbeats that are compared to find out what has changed."""

import operator

# What decides the use of a host; the rest of its state may change with each request.
USE_FIELDS = (
    "boot",
    "data_centre",
    "address",
    "port",
    "draining",
    "store_lost",
    "slow",
)
# All that a heartbeat states but its age, its in-flight requests, and whether it has
# the counts of all teams.
STATE_FIELDS = (
    *USE_FIELDS,
    "admitted",
    "targets_revision",
    "plan_version",
    "plan_key",
    "plan_bytes",
    "cooldowns",
    "leaving",
    "quarantined",
)

use_of = operator.attrgetter(*USE_FIELDS)
state_of = operator.attrgetter(*STATE_FIELDS)
