"""Metrics of waiting requests."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

WAITING = Gauge("waiting_requests", "Requests that wait for a target with room.")
WAITS = Histogram("waiting_seconds", "Time that requests waited for room, by rank.")
OUTCOMES = Counter("waiting_outcomes_total", "Ends of waits for room, by outcome.")
PROGRAMS_TAKEN = Counter(
    "waiting_programs_taken_total",
    "First turns of programs that were taken, new ones and those that came back.",
)
PROGRAMS_REFUSED = Counter(
    "waiting_programs_refused_total", "New programs refused for lack of room, by rank."
)
