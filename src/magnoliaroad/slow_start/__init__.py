"""The rate at which targets take requests shortly after their start."""

from magnoliaroad.slow_start.cold_targets import ColdTargets
from magnoliaroad.slow_start.messages import ColdAdmissionRequest
from magnoliaroad.slow_start.rates import ColdRates
from magnoliaroad.slow_start.send_slots import SendSlots
from magnoliaroad.slow_start.settings import SlowStartSettings

__all__ = [
    "ColdAdmissionRequest",
    "ColdRates",
    "ColdTargets",
    "SendSlots",
    "SlowStartSettings",
]
