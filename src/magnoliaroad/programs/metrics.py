"""Metrics of programs."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

KNOWN_PROGRAMS = Gauge("programs_known", "Programs of the groups that this host owns.")
OPEN_TURNS = Gauge("programs_turns_running", "Open turns of programs owned here.")
PENDING_RELEASES = Gauge(
    "programs_releases_waiting", "Releases that engines have yet to confirm."
)
SWEPT_PROGRAMS = Counter(
    "programs_swept_total", "Programs that an engine held although they had ended."
)
TURNS = Counter("programs_turns_total", "Turns that were asked for, by outcome.")
LAPSED_TURNS = Counter(
    "programs_turns_lapsed_total", "Turns settled because their host was silent."
)
BEGIN_SECONDS = Histogram(
    "programs_begin_seconds",
    "Time until a turn may run or is refused.",
    buckets=[0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0],
)
