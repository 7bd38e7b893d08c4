"""Configures loguru to write one JSON object per line."""

import functools
import logging
import sys
from typing import Any

from loguru import logger

from magnoliaroad.logs.exception_hooks import install_exception_hooks
from magnoliaroad.logs.json_line import json_line
from magnoliaroad.logs.library_handler import LibraryHandler
from magnoliaroad.logs.line_sink import LineSink
from magnoliaroad.logs.log_stream import LogStream, SupportsWrite
from magnoliaroad.logs.settings import LogSettings
from magnoliaroad.logs.standard_streams import (
    STDERR_DESCRIPTOR,
    STDOUT_DESCRIPTOR,
    set_non_blocking,
)

STDOUT_PATH = "-"
LIBRARY_LEVEL = "WARNING"

# The lines that wait in a sink are kept when the settings are read again.
_standard_sink = functools.cache(LineSink)


def setup_host_logs(cfg: LogSettings) -> None:
    """Makes the log the only output of this process, which never waits for a reader.

    Messages of the standard library's logging, warnings, uncaught exceptions and what
    is written to ``sys.stderr`` become log lines. The descriptor of standard error, to
    which the interpreter writes at a fatal error, is set to non-blocking mode.
    """
    set_non_blocking(STDERR_DESCRIPTOR)
    sys.stderr = LogStream(setup_logs(cfg))
    logging.basicConfig(handlers=[LibraryHandler()], level=LIBRARY_LEVEL, force=True)
    logging.captureWarnings(True)
    install_exception_hooks()


def setup_logs(cfg: LogSettings) -> SupportsWrite:
    """Replaces all of loguru's sinks with a single JSON Lines sink.

    Returns:
        What the lines are written to.

    Raises:
        OSError: The log file cannot be opened; the sinks stay as they were.
        ValueError: There is no such level; the sinks stay as they were.
    """
    logger.level(cfg.level)
    stream = _open(cfg.path)
    logger.remove()

    def write(message: Any) -> None:
        stream.write(json_line(message.record, trace=str(message)))

    logger.add(
        write, level=cfg.level, format=_format_trace, backtrace=False, diagnose=False
    )
    return stream


def _open(path: str | None) -> SupportsWrite:
    if path is None:
        return _standard_sink(STDERR_DESCRIPTOR)
    if path == STDOUT_PATH:
        return _standard_sink(STDOUT_DESCRIPTOR)
    return open(path, "a", encoding="utf-8", buffering=1)


def _format_trace(record: Any) -> str:
    """Returns loguru's template: the fields of a line are taken from the record."""
    return "{exception}"
