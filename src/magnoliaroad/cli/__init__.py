"""The command-line interface."""

from magnoliaroad.cli.main import main

__all__ = ["main"]
