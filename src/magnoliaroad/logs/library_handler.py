"""Log messages of libraries, which use the standard library's logging."""

import logging
import re

from aiohttp.http_exceptions import HttpProcessingError
from loguru import logger

MAX_MESSAGE_CHARS = 1000


class LibraryHandler(logging.Handler):
    """Passes records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record; one about a malformed request has no traceback."""
        try:
            exc = record.exc_info[1] if record.exc_info else None
            if isinstance(exc, HttpProcessingError):
                _log_malformed_request(record, exc)
            else:
                _log_message(record, exc)
        except Exception:
            self.handleError(record)


def _log_malformed_request(record: logging.LogRecord, exc: HttpProcessingError) -> None:
    # The rest of the message quotes the request, and may hold a key.
    reason = re.split("[:\n]", exc.message, maxsplit=1)[0]
    logger.bind(
        caller=record.args[0] if record.args else None,
        status=exc.code,
        reason=f"{type(exc).__name__}: {reason}"[:MAX_MESSAGE_CHARS],
    ).info("malformed request")


def _log_message(record: logging.LogRecord, exc: BaseException | None) -> None:
    message = record.getMessage()[:MAX_MESSAGE_CHARS]
    logger.bind(logger=record.name, message=message).opt(exception=exc).log(
        _level(record), "library message"
    )


def _level(record: logging.LogRecord) -> str | int:
    try:
        return logger.level(record.levelname).name
    except ValueError:
        return record.levelno
