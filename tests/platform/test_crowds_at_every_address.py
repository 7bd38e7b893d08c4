"""The crowds of issue 65 at each address of each process of the system.

Each test starts one process with little memory, lets a crowd press on one of its
addresses, and checks what does not depend on the speed of the machine: the process
lives, its memory with the bytes that it has not read yet and its descriptors stay under
a bound, and it answers one ordinary request while the crowd stays. The crowd and the
bounds were fixed before the product changed.
"""

import contextlib
import os
import resource
from collections.abc import Callable
from typing import NamedTuple

import msgpack
import pytest

from magnoliaroad.peers import PeerAddress, PeerService
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.records.messages import KeepRecord, KeepRecordReply
from tests.entry import front_end
from tests.platform.crowd import Crowd, HeldMemory, in_turn, slowly, until_still
from tests.platform.deployment import config, route
from tests.platform.host_process import (
    HEADERS,
    RECORD_LISTENERS,
    host_process,
    read_metrics,
)
from tests.platform.raw_caller import (
    SMALL_BUFFER,
    RawTarget,
    raw_connection,
    read_answer,
    request_bytes,
)
from tests.platform.target_standin import TargetStandin

CROWD = 400
# Memory of the process in its settings, at which the platform would end it. A relay or
# record host holds some 50 MB at rest, and a host of the platform with 150 MB has to
# bear ten times the crowd.
LIMIT_MB = 90
MEMORY = {"limit_mb": LIMIT_MB}
# A front end holds some 15 MB more at rest.
FRONT_END_LIMIT_MB = 105
# A large crowd, and the memory and descriptors of a usual machine of the platform.
LARGE_CROWD = 2500
MACHINE_MB = 150
MACHINE_DESCRIPTORS = 4100
# Descriptors of a process at rest, for the crowd, and for as many connections to
# targets.
MOST_DESCRIPTORS = 50 + 2 * CROWD

# Neither the routes nor the callers end what is read slowly.
PATIENT = HEADERS | {"Magnoliaroad-Deadline-Ms": "60000"}
PATIENT_ROUTES = [
    route("safe", "/safe/", "safe", "app", timeout_ms=60_000),
    route("pay", "/pay/", "unsafe", "app", timeout_ms=60_000),
    route("plan", "/plan/", "streaming", "lm", resumable=True, timeout_ms=60_000),
]
SERVICES = [
    {"name": "app", "health_path": "/health", "max_conns": 2 * CROWD},
    {
        "name": "lm",
        "health_path": "/health",
        "max_conns": 2 * CROWD,
        "engine": {"slots": CROWD, "tokens_per_event": 10},
    },
]
CHUNKED = {"Transfer-Encoding": "chunked"}
ONE_BYTE = b"1\r\nx\r\n"
LARGE_CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
HEARTBEAT = msgpack.packb((4, 0, "n" * 10_000, ()))


class Address(NamedTuple):
    """An address of a process and what callers send there.

    Attributes:
        process: Starts the process.
        name: Name of the address.
        head: Head of a request with a body in chunks.
        questions: Return requests with long answers, or many requests.
        ask: Sends an ordinary request there; returns whether it was answered.
    """

    process: Callable
    name: str
    head: bytes
    questions: tuple[Callable[[], bytes], ...]
    ask: Callable


@contextlib.asynccontextmanager
async def relay_process(tmp_path, memory=MEMORY):
    """Runs a relay host; yields it, how to send it a request, and its limit."""
    engine = TargetStandin("i-lm", "lm", events=400)
    engine.plan_pause_s = 0.0
    targets = [RawTarget("i-app", "app", body=b"y" * 2_000_000), engine]
    entry = config(routes=PATIENT_ROUTES, services=SERVICES)
    async with host_process(
        tmp_path, *targets, operator_config=entry, memory=memory
    ) as host:
        await host.until_ready()
        yield host, lambda: pay(host), LIMIT_MB


async def pay(host):
    async with raw_connection(host.listen["callers"]) as (reader, writer):
        writer.write(request_bytes(PATIENT, "/pay/ordinary", "POST", body=b"x"))
        return (await read_answer(reader, "POST")).status


@contextlib.asynccontextmanager
async def record_process(tmp_path):
    """Runs a record host; yields it, how to send it a request, and its limit."""
    async with host_process(
        tmp_path,
        names=RECORD_LISTENERS,
        data_folder=str(tmp_path / "data"),
        memory=MEMORY,
    ) as host:
        await host.until_logged("host started")
        assert await read_metrics(host.listen["metrics"]) == 200
        yield host, lambda: keep_record(host), LIMIT_MB


async def keep_record(host):
    """Lets the host keep a record, as a relay host does; returns 200 if it is kept."""
    address, _, port = host.listen["peers"].rpartition(":")
    async with PeerService(PeerSettings(), "relay", "127.0.0.1", 0) as peers:
        peers.set_addresses([PeerAddress("host-1", "", address, int(port))])
        peers.register_replies(KeepRecordReply)
        record = KeepRecord("turns/ordinary", b"x", 60.0, [], False)
        reply = await peers.call("host-1", record, 60.0)
    return 200 if reply.synced else 503


@contextlib.asynccontextmanager
async def front_end_process(tmp_path):
    """Runs a front end; yields it, how to send it a request, and its limit."""
    memory = {"limit_mb": FRONT_END_LIMIT_MB}
    async with front_end.front_end_process(tmp_path, memory=memory) as host:
        yield host, lambda: front_end.call(host), FRONT_END_LIMIT_MB


def chunked(path, headers=HEADERS):
    return request_bytes({**headers, **CHUNKED}, path, "POST")


def many(path, count):
    """Returns a function that returns requests which are sent at once."""
    return lambda: request_bytes(HEADERS, path) * count


def many_frames():
    return HEARTBEAT * 50


def get(path):
    """Returns a function that sends a request; it returns whether it was served."""

    async def ask(listen):
        async with raw_connection(listen) as (reader, writer):
            writer.write(request_bytes(HEADERS, path))
            return (await read_answer(reader)).status == 200

    return ask


async def ask_peer(listen):
    """Sends a heartbeat, as a peer does; returns whether it came back."""
    async with raw_connection(listen) as (reader, writer):
        writer.write(HEARTBEAT)
        return await reader.readexactly(len(HEARTBEAT)) == HEARTBEAT


SERVICE = "/services/payouts/small"
FRONT_END_HEADERS = front_end.HEADERS | {"Idempotency-Key": "k"}
ADDRESSES = [
    Address(
        relay_process,
        "callers",
        chunked("/pay/x", PATIENT),
        (
            lambda: request_bytes(PATIENT, "/safe/x"),
            lambda: request_bytes(PATIENT, "/plan/large/x", "POST", body=b"x"),
        ),
        get("/safe/x"),
    ),
    Address(
        relay_process,
        "ready",
        chunked("/-/ready"),
        (many("/-/ready", 500),),
        get("/-/ready"),
    ),
    Address(
        relay_process,
        "metrics",
        chunked("/metrics"),
        (many("/metrics", 50),),
        get("/metrics"),
    ),
    Address(relay_process, "peers", chunked("/pay/x"), (many_frames,), ask_peer),
    Address(
        record_process,
        "metrics",
        chunked("/metrics"),
        (many("/metrics", 50),),
        get("/metrics"),
    ),
    Address(record_process, "peers", chunked("/pay/x"), (many_frames,), ask_peer),
    Address(
        front_end_process,
        "callers",
        chunked(SERVICE, FRONT_END_HEADERS),
        (front_end.long_answer, front_end.long_stream),
        get("/ready"),
    ),
    Address(
        front_end_process,
        "callers",
        chunked("/metrics"),
        (many("/metrics", 50),),
        get("/metrics"),
    ),
    Address(front_end_process, "peers", chunked(SERVICE), (many_frames,), ask_peer),
]
IDS = [
    "relay-callers",
    "relay-ready",
    "relay-metrics",
    "relay-peers",
    "record-metrics",
    "record-peers",
    "front_end-callers",
    "front_end-metrics",
    "front_end-peers",
]


def stop_short(address, part, count):
    """Returns an act that sends a body in chunks without its end, and stays."""

    async def act(crowd, reader, writer):
        await crowd.send(writer, address.head)
        for _ in range(count):
            await crowd.send(writer, part)
        await reader.read()

    return act


def large_chunks(address):
    return [stop_short(address, LARGE_CHUNK, 14)]


def small_chunks(address):
    return [stop_short(address, ONE_BYTE * 500, 40)]


def slow_reading(address):
    return [slowly(question) for question in address.questions]


def all_at_once(address):
    chunks = [*large_chunks(address), *small_chunks(address)]
    return [act for slow in slow_reading(address) for act in (*chunks, slow)]


KINDS = [large_chunks, small_chunks, slow_reading, all_at_once]


def check_process(host, held, limit_mb):
    assert host.proc.returncode is None
    assert host.peak_mb() < limit_mb
    assert held.most_mb < limit_mb
    assert len(os.listdir(f"/proc/{host.proc.pid}/fd")) <= MOST_DESCRIPTORS


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("address", ADDRESSES, ids=IDS)
async def test_a_crowd_leaves_a_process_alive_and_serving(tmp_path, address, kind):
    async with (
        address.process(tmp_path) as (host, ask, limit_mb),
        HeldMemory(host) as held,
    ):
        act, listen = in_turn(*kind(address)), host.listen[address.name]
        async with Crowd(listen, act, SMALL_BUFFER, CROWD) as crowd:
            await until_still(crowd, held)
            check_process(host, held, limit_mb)
            assert await ask() == 200
            assert await address.ask(listen)
        check_process(host, held, limit_mb)


@pytest.mark.parametrize("kind", KINDS)
async def test_thousands_of_callers_leave_a_host_alive_and_serving(tmp_path, kind):
    """The memory and the descriptors of the platform's smallest usual machine."""
    address = ADDRESSES[0]
    memory = {"limit_mb": MACHINE_MB}
    async with (
        relay_process(tmp_path, memory) as (host, ask, _),
        HeldMemory(host) as held,
    ):
        limits = (MACHINE_DESCRIPTORS, MACHINE_DESCRIPTORS)
        resource.prlimit(host.proc.pid, resource.RLIMIT_NOFILE, limits)
        act, listen = in_turn(*kind(address)), host.listen[address.name]
        async with Crowd(listen, act, SMALL_BUFFER, LARGE_CROWD) as crowd:
            await until_still(crowd, held)
            assert await ask() == 200
        assert host.proc.returncode is None
        assert host.peak_mb() < MACHINE_MB
        assert held.most_mb < MACHINE_MB
