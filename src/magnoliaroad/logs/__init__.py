"""JSON Lines logging with loguru."""

from magnoliaroad.logs.setup import setup_logs

__all__ = ["setup_logs"]
