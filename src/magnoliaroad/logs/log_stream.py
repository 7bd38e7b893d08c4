"""Standard error of a process as log lines."""

import datetime
import io
from typing import Protocol

from typing_extensions import override

from magnoliaroad.logs.json_line import encode_line
from magnoliaroad.logs.standard_streams import STDERR_DESCRIPTOR

MAX_LINE_CHARS = 1000


class SupportsWrite(Protocol):
    """What log lines are written to."""

    def write(self, line: str, /) -> object:
        """Writes a line."""


class LogStream(io.TextIOBase):
    """Text stream whose lines become log lines.

    They do not pass through loguru, which reports its own errors here.

    Args:
        sink: Receives the log lines.
    """

    def __init__(self, sink: SupportsWrite) -> None:
        super().__init__()
        self._sink = sink
        self._rest = ""

    @override
    def writable(self) -> bool:
        return True

    @override
    def fileno(self) -> int:
        return STDERR_DESCRIPTOR

    @override
    def write(self, text: str) -> int:
        *lines, rest = (self._rest + text).split("\n")
        self._rest = rest[:MAX_LINE_CHARS]
        for line in lines:
            self._write_line(line)
        return len(text)

    @override
    def flush(self) -> None:
        rest, self._rest = self._rest, ""
        self._write_line(rest)

    def _write_line(self, text: str) -> None:
        if not text:
            return
        now = datetime.datetime.now(datetime.UTC).astimezone()
        fields = {
            "time": now.isoformat(),
            "level": "ERROR",
            "event": "standard error",
            "text": text[:MAX_LINE_CHARS],
        }
        self._sink.write(encode_line(fields))
