"""The parser of events against a model, for any stream in any pieces."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from magnoliaroad.relay.event_scanner import EventScanner
from tests.relay.event_model import BYTE_ORDER_MARK, EventModel

LINE_ENDS = [b"\n", b"\r\n", b"\r"]
TEXTS = st.text("aß漢😀: \t", max_size=4).map(str.encode)
LINES = st.one_of(
    st.just(b""),
    st.sampled_from(
        [b":", b"data", b"data:", b"data: ", b"id: 1", b"retry", b"datax: "]
    ),
    st.builds(b"data: ".__add__, TEXTS),
    st.builds(b": ".__add__, TEXTS),
    TEXTS,
)
ENDED_LINES = st.builds(bytes.__add__, LINES, st.sampled_from(LINE_ENDS))
STREAMS = st.builds(
    lambda mark, lines, rest: mark + b"".join(lines) + rest,
    st.sampled_from([b"", b"", BYTE_ORDER_MARK]),
    st.lists(ENDED_LINES, max_size=12),
    LINES,
)


@st.composite
def cut_streams(draw):
    """Draws the start of a stream, in pieces."""
    stream = draw(STREAMS)
    stream = stream[: draw(st.integers(0, len(stream)))]
    places = draw(st.lists(st.integers(0, len(stream)), max_size=8))
    bounds = sorted({0, *places, len(stream)})
    return [stream[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


def check(pieces):
    scanner = EventScanner()
    for piece in pieces:
        scanner.feed(piece)
    model = EventModel(b"".join(pieces))
    assert scanner.count == len(model.events)
    assert bytes(scanner.data) == b"".join(data + b"\n" for data in model.events)
    assert scanner.complete == model.complete


@settings(max_examples=600, derandomize=True, deadline=None)
@given(cut_streams())
@example([b"data: \xe6\xbc", b"\xa2\r", b"\n\r", b"\n"])
@example([b"\xef\xbb", b"\xbfdata: a\r", b"\r"])
def test_any_pieces_of_any_stream_give_the_events_of_the_model(pieces):
    check(pieces)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(STREAMS)
def test_single_bytes_give_the_events_of_the_model(stream):
    check([stream[place : place + 1] for place in range(len(stream))])
