from magnoliaroad.relay.event_scanner import EventScanner

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
