"""Workload traces: generator, file format and replay in virtual time."""

from magnoliaroad.traces.generate import generate
from magnoliaroad.traces.jsonl import read_trace, write_trace
from magnoliaroad.traces.record import Outcomes, TeamRecord, Trace
from magnoliaroad.traces.replay import replay
from magnoliaroad.traces.report import Report
from magnoliaroad.traces.settings import ReplaySettings

__all__ = [
    "Outcomes",
    "ReplaySettings",
    "Report",
    "TeamRecord",
    "Trace",
    "generate",
    "read_trace",
    "replay",
    "write_trace",
]
