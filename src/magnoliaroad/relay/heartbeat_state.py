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
# What a host states of itself alone.
OWN_FIELDS = (*USE_FIELDS, "admitted", "cooldowns", "leaving", "quarantined")
# Versions of what all hosts soon have alike.
VERSION_FIELDS = ("targets_revision", "plan_version", "plan_key", "plan_bytes")
# All that a heartbeat states but its age, its in-flight requests, and whether it has
# the counts of all teams.
STATE_FIELDS = (*OWN_FIELDS, *VERSION_FIELDS)

use_of = operator.attrgetter(*USE_FIELDS)
own_state_of = operator.attrgetter(*OWN_FIELDS)
state_of = operator.attrgetter(*STATE_FIELDS)


def changed_field(before: tuple[object, ...], after: tuple[object, ...]) -> str:
    """Returns the first field in which two results of ``own_state_of`` differ."""
    fields = zip(OWN_FIELDS, before, after, strict=True)
    return next(name for name, old, new in fields if old != new)
