"""The HTTP server for callers and its request handlers."""

from magnoliaroad.entry.parts import EntryParts
from magnoliaroad.entry.server import EntryServer

__all__ = ["EntryParts", "EntryServer"]
