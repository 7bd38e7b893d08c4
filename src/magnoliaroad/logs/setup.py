"""Configures loguru to write one JSON object per line."""

import sys
from typing import Any

import msgspec
from loguru import logger

from magnoliaroad.logs.line_sink import LineSink
from magnoliaroad.logs.settings import LogSettings

STDOUT_PATH = "-"


def setup_logs(cfg: LogSettings) -> None:
    """Replaces all log sinks with a single JSON Lines sink."""
    logger.remove()
    stream = sys.stderr
    if cfg.path == STDOUT_PATH:
        stream = LineSink(sys.stdout.fileno())
    elif cfg.path is not None:
        stream = open(cfg.path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def write(message: Any) -> None:
        stream.write(json_line(message.record))

    logger.add(write, level=cfg.level, format="{message}", backtrace=False)


def json_line(record: Any) -> str:
    """Returns a loguru record as one line of JSON."""
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    return msgspec.json.encode(fields, enc_hook=str).decode() + "\n"
