"""Detects requests that crash targets and blocks them by fingerprint."""

from magnoliaroad.quarantine.blocklist import Blocklist
from magnoliaroad.quarantine.crash_reporter import CrashReporter
from magnoliaroad.quarantine.detector import PoisonDetector
from magnoliaroad.quarantine.entry import QuarantineEntry, QuarantineState
from magnoliaroad.quarantine.fingerprint import exact_fingerprint, fingerprint_of
from magnoliaroad.quarantine.messages import CrashReport
from magnoliaroad.quarantine.service import QuarantineService
from magnoliaroad.quarantine.settings import QuarantineSettings
from magnoliaroad.quarantine.stored_list import BlocklistWatcher

__all__ = [
    "Blocklist",
    "PoisonDetector",
    "CrashReport",
    "CrashReporter",
    "BlocklistWatcher",
    "QuarantineService",
    "QuarantineSettings",
    "QuarantineEntry",
    "QuarantineState",
    "exact_fingerprint",
    "fingerprint_of",
]
