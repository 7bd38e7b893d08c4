"""Exceptions that nothing catches, as log lines."""

import sys
import threading
from types import TracebackType

from loguru import logger

MAX_OBJECT_CHARS = 200


def install_exception_hooks() -> None:
    """Logs exceptions that end a thread, and those in destructors."""
    sys.excepthook = _log_uncaught
    sys.unraisablehook = _log_ignored
    threading.excepthook = _log_thread_end


def _log_uncaught(
    kind: type[BaseException], exc: BaseException, trace: TracebackType | None
) -> None:
    logger.opt(exception=(kind, exc, trace)).critical("uncaught exception")


def _log_thread_end(args: threading.ExceptHookArgs) -> None:
    name = "" if args.thread is None else args.thread.name
    logger.bind(thread=name).opt(
        exception=(args.exc_type, args.exc_value, args.exc_traceback)
    ).error("uncaught exception")


def _log_ignored(args: "sys.UnraisableHookArgs") -> None:
    logger.bind(where=repr(args.object)[:MAX_OBJECT_CHARS]).opt(
        exception=(args.exc_type, args.exc_value, args.exc_traceback)
    ).error("exception ignored")
