"""Settings of the model of targets."""

from typing import Literal, NamedTuple


class PlacementSettings(NamedTuple):
    """When streams are placed by their expected end.

    Attributes:
        by_expected_end: ``auto`` for services whose targets state how much slower their
            machines are at the moment, ``on`` for all, ``off`` for none.
    """

    by_expected_end: Literal["auto", "on", "off"] = "auto"
