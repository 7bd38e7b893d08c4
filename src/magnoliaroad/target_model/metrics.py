"""Metrics of the model of targets."""

from magnoliaroad.metrics import Counter, Gauge, Histogram

MODEL_ERROR = Histogram(
    "target_model_error_ratio",
    "Error of the expected time of turns, as part of the actual time.",
)
CHOICES = Counter("target_model_choices_total", "Choices by the model, by reason.")
PACE = Gauge(
    "target_model_event_seconds",
    "Learnt time for an event without slowdown, by target.",
)
KNOWN_PACES = Gauge("target_model_known_targets", "Targets whose pace is known.")
