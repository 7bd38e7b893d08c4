"""The HTTP server for callers and its request handlers."""

from magnoliaroad.entry.server import EntryServer
from magnoliaroad.entry.services import EntryServices

__all__ = ["EntryServices", "EntryServer"]
