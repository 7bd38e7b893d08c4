"""JSON Lines logging with loguru."""

from magnoliaroad.logs.setup import setup_host_logs, setup_logs
from magnoliaroad.logs.standard_streams import open_missing_streams

__all__ = ["open_missing_streams", "setup_host_logs", "setup_logs"]
