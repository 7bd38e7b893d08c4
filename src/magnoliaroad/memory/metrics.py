"""Metrics of the memory that a process holds."""

from magnoliaroad.metrics import Counter, Gauge

RESIDENT = Gauge("memory_resident_bytes", "Resident memory of the process.")
HELD = Gauge("memory_held_bytes", "Memory that a part of the host holds, by holder.")
COLLECTIONS = Counter(
    "memory_collections_total", "Garbage collections because memory has grown."
)
SHED = Counter(
    "memory_shed_bytes_total",
    "Memory that was given up as the process came near its limit, by holder.",
)
