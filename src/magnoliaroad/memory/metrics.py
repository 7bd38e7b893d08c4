"""Metrics of the memory that a process holds."""

from magnoliaroad.metrics import Gauge

RESIDENT = Gauge("memory_resident_bytes", "Resident memory of the process.")
HELD = Gauge("memory_held_bytes", "Memory that a part of the host holds, by holder.")
