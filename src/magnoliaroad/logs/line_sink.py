"""Non-blocking log sink for a pipe."""

import os
import threading

from magnoliaroad.logs.standard_streams import set_non_blocking

# Buffer limit while the reader is slow: a few seconds of log lines at full load.
MAX_PENDING_BYTES = 262_144


class LineSink:
    """Writes whole lines to a file descriptor without blocking.

    Buffers lines while the descriptor is not writable. When the buffer is full, drops
    lines, counts them, and reports the count once lines can be written again.

    Args:
        descriptor: File descriptor; it is set to non-blocking mode.

    Attributes:
        dropped: Lines dropped since the count was last reported.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = bytearray()
        # Re-entrant: a destructor that runs during a write may write a line too.
        self._lock = threading.RLock()
        set_non_blocking(descriptor)

    def write(self, line: str) -> None:
        """Writes or buffers ``line``, or drops it if the buffer is full."""
        with self._lock:
            self._write(line)

    def _write(self, line: str) -> None:
        if len(self._pending) > MAX_PENDING_BYTES:
            self._flush()
            if len(self._pending) > MAX_PENDING_BYTES:
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
            # The pipe is full or closed; the lines stay in the buffer.
            return
        del self._pending[:written]
