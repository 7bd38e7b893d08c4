"""What the soak's slow connections read, and what they find wrong."""

import asyncio
import contextlib

import pytest

from tests.soak.slow_conn import ConnClosed, FramingError, Pace, SlowConn

REQUEST = b"GET / HTTP/1.1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
WHOLE = HEAD + b"Content-Length: 5\r\nX-A: b\r\n\r\nwhole"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"


@contextlib.asynccontextmanager
async def connection(*pieces, closes=True, resets=False):
    """Connects to a server that writes ``pieces`` after a request; yields both.

    The second value is the list of what the server has read, one item a piece.
    """
    read, handlers, left = [], [], asyncio.Event()

    async def answer(reader, writer):
        handlers.append(asyncio.current_task())
        while not b"".join(read).endswith(REQUEST):
            read.append(await reader.read(1000))
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.01)
        if not closes:
            await left.wait()
        if resets:
            writer.transport.abort()
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    conn = await SlowConn.open(f"{host}:{port}")
    try:
        yield conn, read
    finally:
        conn.close()
        left.set()
        await asyncio.gather(*handlers)
        server.close()


async def read_answer(*pieces, pace=None, followed=False, **ends):
    async with connection(*pieces, **ends) as (conn, _):
        await conn.send(REQUEST)
        return await conn.read_answer(pace or Pace(), followed)


def split(data):
    return [data[at : at + 1] for at in range(len(data))]


@pytest.mark.parametrize("data", [WHOLE, CHUNKED])
@pytest.mark.parametrize("pieces", [lambda data: [data], split])
async def test_a_whole_answer_is_read(data, pieces):
    status, headers, body = await read_answer(*pieces(data))
    assert (status, body) == (200, b"whole")
    assert headers


@pytest.mark.parametrize("data", [WHOLE, CHUNKED])
@pytest.mark.parametrize("end", [{}, {"resets": True}])
async def test_an_answer_that_ends_early_is_not_whole(data, end):
    for size in (0, 5, len(HEAD) + 3, len(data) - 1):
        with pytest.raises(ConnClosed):
            await read_answer(data[:size], **end)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        HEAD + b"no field\r\n\r\n",
        HEAD + b"Content-Length: 5\r\ncontent-length: 5\r\n\r\nwhole",
        HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nwhole",
        HEAD + b"\r\nwhole",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nx\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nwhole\r\n",
        HEAD + b"X-A: " + b"b" * 20_000,
        WHOLE + b"more",
    ],
)
async def test_bytes_that_are_no_answer_are_found(data):
    with pytest.raises(FramingError):
        await read_answer(data)


async def test_bytes_without_a_request_are_found():
    async with connection(WHOLE, b"more", closes=False) as (conn, _):
        assert conn.is_open()
        await conn.send(REQUEST)
        await conn.read_answer(Pace())
        await asyncio.sleep(0.1)
        with pytest.raises(FramingError):
            conn.is_open()


async def test_a_closed_connection_is_not_open():
    async with connection(WHOLE) as (conn, _):
        await conn.send(REQUEST)
        await conn.read_answer(Pace())
        await asyncio.sleep(0.1)
        assert not conn.is_open()


async def test_the_answer_to_a_request_that_followed_is_read_next():
    second = CHUNKED.replace(b"le", b"se")
    async with connection(WHOLE + second, closes=False) as (conn, _):
        await conn.send(REQUEST)
        first = await conn.read_answer(Pace(), followed=True)
        assert first.body == b"whole"
        assert (await conn.read_answer(Pace())).body == b"whose"
        assert conn.received == len(second)
        assert conn.is_open()


async def test_a_request_is_sent_in_two_pieces():
    async with connection(WHOLE) as (conn, read):
        await conn.send(REQUEST, pause_s=0.05)
        await conn.read_answer(Pace())
        assert [len(piece) for piece in read] == [len(REQUEST) // 2] * 2


async def test_the_pace_bounds_the_reading():
    loop = asyncio.get_running_loop()
    body = b"x" * 5000
    data = HEAD + b"Content-Length: 5000\r\n\r\n" + body
    began = loop.time()
    pace = Pace(read_bytes=1000, pause_s=0.02, rest_after=2000, rest_s=0.3)
    answer = await read_answer(data, pace=pace)
    assert answer.body == body
    # Five reads at least after the first, and the rest once.
    assert loop.time() - began >= 0.4 - 0.01
