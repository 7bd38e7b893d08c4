"""Hosts whose standard output or error nobody reads, or is closed."""

import asyncio
import json
import os

import pytest

from tests.platform.deployment import KEY
from tests.soak import fleet as fleets
from tests.soak.fleet import Fleet

MALFORMED = b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n"
REQUEST = (
    "GET /safe/x HTTP/1.1\r\nHost: arcade.example\r\nConnection: close\r\n"
    f"Authorization: Bearer {KEY}\r\n"
    "Magnoliaroad-Request-Id: {}\r\nMagnoliaroad-Deadline-Ms: 2000\r\n\r\n"
)
# Enough lines to fill the pipe.
COUNT = 700
STREAMS = {"stdout": 1, "stderr": 2}


@pytest.fixture
def connect(monkeypatch):
    """Function that connects standard streams of all hosts to a pipe."""
    create = asyncio.create_subprocess_exec
    reader, writer = os.pipe()
    opened = [writer]

    def connect(names, state):
        if state == "unread":
            opened.append(reader)
        else:
            os.close(reader)
        changes = {name: writer for name in names}
        if state == "closed":
            changes = {
                "preexec_fn": lambda: [os.close(STREAMS[name]) for name in names]
            }

        async def create_connected(*args, **options):
            return await create(*args, **{**options, **changes})

        monkeypatch.setattr(fleets.asyncio, "create_subprocess_exec", create_connected)

    yield connect
    for descriptor in opened:
        os.close(descriptor)


async def send(address, request):
    """Returns the whole answer to a request."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize("state", ["unread", "without a reader", "closed"])
@pytest.mark.parametrize(
    "names", [["stderr"], ["stdout"], ["stdout", "stderr"]], ids=" and ".join
)
async def test_malformed_requests_do_not_block_a_host_whose_streams_nobody_reads(
    tmp_path, connect, names, state
):
    """LOST: the event loop waited for a full pipe, and SIGTERM did not end the host."""
    connect(names, state)
    async with Fleet(tmp_path, 1, 1) as fleet:
        relay = fleet.relay_hosts[0]
        async with asyncio.timeout(20):
            for _ in range(COUNT):
                answer = await send(relay.caller_address, MALFORMED)
                assert answer.startswith(b"HTTP/1.0 400 ")
        async with asyncio.timeout(2):
            request = REQUEST.format("last").encode()
            answer = await send(relay.caller_address, request)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert await relay.terminate() == ""
        assert await fleet.record_hosts[0].terminate() == ""


async def test_a_malformed_request_is_one_line_without_its_text(tmp_path):
    async with Fleet(tmp_path, 1, 0) as fleet:
        relay = fleet.relay_hosts[0]
        head = b"GET / HTTP/1.1\r\nAuthorization: Bearer hidden\x01\r\n\r\n"
        answer = await send(relay.caller_address, head)
        assert b" 400 " in answer
        assert await relay.terminate() == ""
    log = (relay.folder / "log-1.jsonl").read_text()
    (line,) = [line for line in log.splitlines() if "malformed request" in line]
    assert '"caller":"127.0.0.1"' in line
    assert "hidden" not in log
    assert "trace" not in line


async def test_a_request_whose_header_is_not_utf_8_has_its_lines(tmp_path):
    async with Fleet(tmp_path, 1, 0) as fleet:
        relay = fleet.relay_hosts[0]
        request = REQUEST.format("named\r\nMagnoliaroad-Program-Id: p-@").encode()
        request = request.replace(b"@", b"\xff")
        answer = await send(relay.caller_address, request)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert await relay.terminate() == ""
    log = (relay.folder / "log-1.jsonl").read_text()
    assert '"standard error"' not in log
    lines = [json.loads(line) for line in log.splitlines() if r"p-\udcff" in line]
    assert {line["event"] for line in lines} >= {"placed", "answer begun"}
