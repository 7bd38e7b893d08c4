"""Metrics of team rate limiting."""

from magnoliaroad.metrics import Counter, Gauge

ADMITTED = Counter("limits_admitted_total", "Requests admitted, by way.")
REFUSED = Counter("limits_refused_total", "Requests refused, by reason.")
MESSAGES = Counter("limits_messages_total", "Messages sent to peers, by type.")
RIGHT = Gauge("limits_share_right", "1 while the host may use its shares.")
REVISION = Gauge("limits_share_revision", "Revision of the share table in force.")
ACTIVE_TEAMS = Gauge("limits_active_teams", "Teams that take up memory.")
