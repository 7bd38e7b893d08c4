"""Log lines written to a pipe that nobody reads must not block the process."""

import os
import time

from magnoliaroad.logs.line_sink import MAX_PENDING_BYTES, LineSink


def test_lines_for_a_full_pipe_are_dropped_and_counted():
    reader, writer = os.pipe()
    sink = LineSink(writer)
    line = "x" * 999 + "\n"
    began = time.monotonic()
    for _ in range(2000):
        sink.write(line)
    assert time.monotonic() - began < 1.0
    assert sink.dropped > 0
    assert len(sink._pending) <= MAX_PENDING_BYTES + len(line)
    os.set_blocking(reader, False)
    read = b""
    while b"log lines dropped" not in read and len(read) < 1_000_000:
        try:
            read += os.read(reader, 65536)
        except BlockingIOError:
            sink.write("more\n")
    assert b"log lines dropped" in read
    lines = read.split(b"\n")[:-1]
    assert all(item in (b"x" * 999, b"more") or b"dropped" in item for item in lines)
    os.close(reader)
    os.close(writer)
