"""How the stand-in for a target ends its answers."""

import asyncio
import contextlib

import pytest

from tests.platform.answer_ends import REFUSAL, half_event, write_answer

HEAD = "HTTP/1.1 200 OK\r\nX-A: b\r\n"
BODY = b"whole"
WITH_LENGTH = f"{HEAD}Content-Length: 5\r\n\r\nwhole".encode()


async def written(act):
    """Returns the bytes that arrive, whether a reset ends them, and the result."""
    results = []

    async def answer(reader, writer):
        results.append(await write_answer(act, writer, HEAD, BODY))
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    received, is_reset = bytearray(), False
    try:
        while piece := await reader.read(1000):
            received += piece
    except ConnectionResetError:
        is_reset = True
    writer.close()
    server.close()
    return bytes(received), is_reset, results[0]


@pytest.mark.parametrize(
    ("act", "expected", "is_reset", "stays_open"),
    [
        ("ok", WITH_LENGTH, False, True),
        ("bare", f"{HEAD}\r\nwhole".encode(), False, False),
        ("bare_reset", f"{HEAD}\r\nwh".encode(), True, False),
        ("head_cut", HEAD.encode()[: len(HEAD) // 2], False, False),
        ("refusal_first", REFUSAL + WITH_LENGTH, False, True),
    ],
)
async def test_an_answer_ends_as_its_name_says(act, expected, is_reset, stays_open):
    assert await written(act) == (expected, is_reset, stays_open)


def test_half_an_event_ends_inside_its_second_field():
    event = b"id: 3\ndata: word3\n\n"
    assert half_event(event) == b"id: 3\nda"
    assert event.startswith(half_event(event))
