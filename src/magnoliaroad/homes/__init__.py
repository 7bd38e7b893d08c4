"""The regions inside which requests of a route or a team must stay."""

from magnoliaroad.homes.regions import allowed_data_centres

__all__ = ["allowed_data_centres"]
