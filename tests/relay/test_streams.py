import pytest

from magnoliaroad.relay.event_scanner import EventLimits, EventScanner, StreamTooLong

STREAM = b"id: 1\ndata: one\n\nid: 2\r\ndata: two\n\n: note\n\ndata: a\ndata: b\n\n"


def test_events_are_found_however_the_bytes_are_cut():
    for size in range(1, len(STREAM) + 1):
        scanner = EventScanner()
        for start in range(0, len(STREAM), size):
            scanner.feed(STREAM[start : start + size])
        assert scanner.count == 3
        assert bytes(scanner.data) == b"one\ntwo\na\nb\n"
        assert scanner.complete


def test_an_incomplete_event_does_not_count():
    scanner = EventScanner()
    scanner.feed(b"data: one\n\ndata: tw")
    assert scanner.count == 1
    assert not scanner.complete


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_events_are_found_with_any_line_ends_at_any_cut(line_end):
    stream = "\ufeffdata: é\n\n:note\n\nid: 2\ndata: a\ndata: b\n\n".encode()
    stream = stream.replace(b"\n", line_end)
    for cut in range(len(stream) + 1):
        scanner = EventScanner()
        for piece in (stream[:cut], b"", stream[cut:]):
            scanner.feed(piece)
        assert scanner.count == 2
        assert bytes(scanner.data) == "é\na\nb\n".encode()
        assert scanner.complete


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_a_stream_is_complete_only_between_events(line_end):
    # The marks "|" stand where the stream may end.
    marked = b"|\n|:note\n|\n|id: 1\ndata: \xc3\xa9\n\n|\n|:\n|data: x\n\n|:end\n|"
    marked = marked.replace(b"\n", line_end)
    stream, ends, size = marked.replace(b"|", b""), set(), 0
    for part in marked.split(b"|"):
        size += len(part)
        ends.add(size)
        if part.endswith(b"\r\n"):
            ends.add(size - 1)
    for cut in range(len(stream) + 1):
        scanner = EventScanner()
        for position in range(cut):
            scanner.feed(stream[position : position + 1])
        assert scanner.complete == (cut in ends), stream[:cut]


@pytest.mark.parametrize("rest", [b"\xef", b"\xef\xbb", b":no", b"id: 1\n", b"x"])
def test_a_stream_that_ends_inside_a_line_or_event_is_not_complete(rest):
    scanner = EventScanner()
    scanner.feed(rest)
    assert not scanner.complete


def feed_without_end(scanner, piece):
    for _ in range(1100):
        scanner.feed(piece)


@pytest.mark.parametrize(
    ("limits", "piece"),
    [
        (EventLimits(filler_bytes=1000), b": comment\n\n"),
        (EventLimits(filler_bytes=1000), b"\n\n\n\n"),
        (EventLimits(event_bytes=1000), b": comment\n"),
        (EventLimits(event_bytes=1000), b"data: one event\n"),
        (EventLimits(event_bytes=1000), b"x"),
        (EventLimits(events=20), b"data: x\n\n"),
        (EventLimits(data_bytes=1000), b"data: 0123456789\n\n"),
    ],
)
def test_a_stream_beyond_its_limits_is_not_kept(limits, piece):
    scanner = EventScanner(limits)
    with pytest.raises(StreamTooLong):
        feed_without_end(scanner, piece)


def test_comments_between_events_do_not_add_up():
    scanner = EventScanner(EventLimits(filler_bytes=50))
    for _ in range(100):
        scanner.feed(b": comment\n\n: comment\ndata: x\n\n")
    assert scanner.count == 100


def test_data_that_is_not_needed_is_not_kept():
    scanner = EventScanner(EventLimits(data_bytes=10), keeps_data=False)
    scanner.feed(b"data: 0123456789\n\n" * 10)
    assert (scanner.count, scanner.data) == (10, b"")
