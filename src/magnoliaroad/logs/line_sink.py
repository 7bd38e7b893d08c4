"""Writes log lines to a pipe without ever waiting for its reader."""

import os

# Most bytes that wait for a slow reader; some seconds of lines at full load.
MOST_PENDING_BYTES = 262_144


class LineSink:
    """Writes whole lines to a descriptor; drops and counts those it cannot hold.

    Args:
        descriptor: File descriptor, which is set not to block.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = bytearray()
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes ``line`` now, later with the next one, or never."""
        if len(self._pending) > MOST_PENDING_BYTES:
            self._flush()
            if len(self._pending) > MOST_PENDING_BYTES:
                self.dropped += 1
                return
        if self.dropped:
            notice = f'{{"event": "log lines dropped", "count": {self.dropped}}}\n'
            self._pending += notice.encode()
            self.dropped = 0
        self._pending += line.encode()
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._pending)
        except OSError:
            # Nobody reads now; the lines stay pending up to the limit.
            return
        del self._pending[:written]
