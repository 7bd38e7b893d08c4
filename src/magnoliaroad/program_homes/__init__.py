"""Which hosts account for programs while the set of hosts changes."""

from magnoliaroad.program_homes.history import HomeHistory

__all__ = ["HomeHistory"]
