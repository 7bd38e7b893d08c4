"""The regions inside which requests of a route or a team must stay."""

from magnoliaroad.homes.regions import (
    allowed_data_centres,
    allowed_regions,
    data_centres_in,
    must_stay_at_host,
)

__all__ = [
    "allowed_data_centres",
    "allowed_regions",
    "data_centres_in",
    "must_stay_at_host",
]
