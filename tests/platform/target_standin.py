"""A stand-in for a target that writes its answers byte by byte."""

import asyncio
import time

from tests.platform.answer_ends import (
    ANSWER_ENDS,
    READ_TIME_S,
    REFUSAL,
    half_event,
    reset,
    write_answer,
)

SIGNATURE = "3e1b.07"
LARGE_PATH = "/safe/large/"
LARGE_STREAM_PATHS = ("/plan/large/", "/stream/large/")
# Size of an event of a stream below ``LARGE_STREAM_PATHS``, in bytes.
LARGE_EVENT_BYTES = 12_000
# Entries of a script with which a target answers soundly.
SOUND_ACTS = ("ok", "slow", "slowly", "error", "full", "moved", "bare")


def large_body(path, request_id):
    """Returns the body for a path below ``LARGE_PATH``; empty for another path."""
    if not path.startswith(LARGE_PATH):
        return b""
    size = int(path.removeprefix(LARGE_PATH))
    text = f"{request_id}.".encode()
    return (text * (size // len(text) + 1))[:size]


async def read_until_closed(reader):
    """Waits for a close or a reset; returns a byte if one came instead."""
    try:
        return await reader.read(1)
    except ConnectionResetError:
        return b""


class TargetStandin:
    """Answers requests by its ``script``, one entry for each request.

    Entries are ``"ok"``, ``"full"`` (not run), ``"moved"`` (421), ``"wrong_id"``,
    ``"unsealed"`` (no signature), ``"error"`` (status 500), ``"reset"``, ``"silent"``
    (no answer for 5 s), ``"cut"`` (the body ends early), ``"extra"`` (a second answer
    after the first), ``"again"`` (the previous answer is sent again, before this one),
    ``"slow"`` (an answer after 0.5 s), ``"slowly"`` (a stream with pauses),
    ``"trickle"`` (a stream that sends a byte from time to time and never ends), and
    ``"endless_noise"``, ``"endless_head"`` and ``"endless_body"`` (bytes until the
    caller closes the connection), and those of ``ANSWER_ENDS``. The last entry applies
    to all further requests.

    Paths below ``/safe/large/`` name the size of the body, in bytes. Events of streams
    below ``LARGE_STREAM_PATHS`` have ``LARGE_EVENT_BYTES``.

    Paths below ``/stream/`` and ``/plan/`` are answered by streams, which begin after
    the event that ``Last-Event-Id`` names. Targets of a version other than v1 write it
    into each event. As the platform's targets do, they resume streams of any version.

    Attributes:
        version: Version of its software; does not change.
        born: Start of its first incarnation, in milliseconds; a crash adds one.
        answer: Body of whole answers to plain calls.
        plan_pause_s: Pause after each event of a stream below ``/plan/``, in seconds.
        zone: Data centre that its entry states.
        cold_until: Monotonic time until which its entry states that it is cold.
        runs: Requests that it ran: method, path, headers, body.
        run_times: Monotonic time of each of them.
        in_flight: Requests that are being answered.
        abandoned: Requests whose connection was closed before their answer.
        broke_off: Ids of the requests that it did not answer soundly.
        leaving: Value of the leaving header on all its answers; ``None`` for no header.
        limit: Value of the limit header on all its answers; ``None`` for no header.
        load: Value of the load header on all its answers; ``None`` for no header.
        places: Requests that it runs at a time, others are refused as full; ``None``
            for no bound.
        work_s: Time until it begins each answer, in seconds.
        cold_ms: Value of the header that states for how long it remains cold.
        poison: Body of requests that crash the target; ``None`` for none.
        down_s: Time from a crash to the restart, in seconds.
        crashed_at: Times of the crashes, by the event loop's clock.
        hangs_on_crash: Whether its connections stay open after a crash, without data.
        on_crash: Is called when it has crashed.
        on_start: Is called when it has restarted, as a new incarnation.
    """

    def __init__(self, name="i-1", service="lm", events=3, version="v1", born=1000):
        self.name = name
        self.service = service
        self.events = events
        self.version = version
        self.born = born
        self.answer = b"whole"
        self.plan_pause_s = 0.005
        self.script = ["ok"]
        self.zone = "dc-1"
        self.cold_until = 0.0
        self.runs = []
        self.run_times = []
        self.in_flight = 0
        self.abandoned = 0
        self.broke_off = set()
        self.leaving = self.limit = self.load = self.cold_ms = None
        self.places = None
        self.work_s = 0.0
        self.poison = None
        self.down_s = 0.5
        self.crashed_at = []
        self.hangs_on_crash = False
        self.on_crash = lambda: None
        self.on_start = lambda: None
        # The id of the last request of each connection, by its writer.
        self._writers = {}
        self._restart = None
        self._server = None
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def stop(self):
        if self._restart is not None:
            self._restart.cancel()
        self._server.close()

    @property
    def serving(self):
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def exit(self):
        """Stops and aborts all connections, as the end of the process does."""
        await self.stop()
        self._abort_all()

    def crash(self):
        """Aborts all connections and restarts after ``down_s``."""
        loop = asyncio.get_running_loop()
        self.crashed_at.append(loop.time())
        self._server.close()
        if self.hangs_on_crash:
            self.broke_off.update(self._writers.values())
        else:
            self._abort_all()
        self.on_crash()
        self._restart = loop.create_task(self._restart_later())

    def _abort_all(self):
        self.broke_off.update(self._writers.values())
        for writer in self._writers:
            writer.transport.abort()

    async def _restart_later(self):
        await asyncio.sleep(self.down_s)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._handle_connection, host, int(port)
        )
        self.on_start()

    def entry(self, **changes):
        now = time.monotonic()
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": max(0, round(1000 * (self.cold_until - now))),
            "call_seq": 1,
            "born": self.born + len(self.crashed_at),
        }
        return {**fields, **changes}

    async def _handle_connection(self, reader, writer):
        self._writers[writer] = ""
        try:
            while await self._handle_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            del self._writers[writer]
            writer.close()

    async def _handle_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, path, _ = head[0].split(" ")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        lower = {name.lower(): value for name, value in headers.items()}
        body = await reader.readexactly(int(lower.get("content-length", 0)))
        act = self.script[0] if len(self.script) == 1 else self.script.pop(0)
        if self.places is not None and self.in_flight >= self.places:
            act = "full"
        request_id = lower["magnoliaroad-request-id"]
        self._writers[writer] = request_id
        if act not in SOUND_ACTS:
            self.broke_off.add(request_id)
        if act == "full":
            self._write_answer(
                writer, 503, request_id, b"", "Magnoliaroad-Not-Executed: 1"
            )
            return True
        if act == "moved":
            self._write_answer(
                writer, 421, request_id, b"", "Magnoliaroad-Instance-Id: x"
            )
            return True
        if act == "again":
            before = self.runs[-1][2]["magnoliaroad-request-id"]
            signature = f"Magnoliaroad-Response-Seal: {SIGNATURE}"
            self._write_answer(writer, 200, before, b"before", signature)
        self.runs.append((method, path, lower, body))
        self.run_times.append(time.monotonic())
        if body == self.poison:
            self.crash()
            while self.hangs_on_crash and await reader.read(1):
                pass
            return False
        self.in_flight += 1
        try:
            return await self._write_scripted_answer(
                act, reader, writer, request_id, path, lower
            )
        finally:
            self.in_flight -= 1

    async def _write_scripted_answer(
        self, act, reader, writer, request_id, path, headers
    ):
        if act == "reset":
            writer.transport.abort()
            return False
        work_s = {"silent": 5.0, "slow": 0.5}.get(act, self.work_s)
        if work_s:
            try:
                async with asyncio.timeout(work_s):
                    await read_until_closed(reader)
                self.abandoned += 1
                return False
            except TimeoutError:
                pass
        if act.startswith("endless"):
            return await self._endless(act, writer, request_id)
        if act == "wrong_id":
            request_id = "another"
        if path.startswith(("/stream/", "/plan/")):
            is_large = path.startswith(LARGE_STREAM_PATHS)
            pause_s = self.plan_pause_s if path.startswith("/plan/") else 0.005
            after = int(headers.get("last-event-id", 0))
            pad = LARGE_EVENT_BYTES if is_large else 0
            return await self._stream(act, writer, request_id, after, pause_s, pad)
        status = 500 if act == "error" else 200
        signature = (
            "" if act == "unsealed" else f"Magnoliaroad-Response-Seal: {SIGNATURE}"
        )
        body = large_body(path, request_id) or self.answer
        if act in ANSWER_ENDS:
            lines = [
                "HTTP/1.1 200 OK",
                f"Magnoliaroad-Request-Id: {request_id}",
                signature,
                *self._stated_headers(),
            ]
            return await write_answer(act, writer, "\r\n".join([*lines, ""]), body)
        if act == "cut":
            lines = [
                "HTTP/1.1 200 OK",
                "Content-Length: 50",
                signature,
                *self._stated_headers(),
            ]
            head = "\r\n".join([*lines, ""])
            writer.write(
                f"{head}Magnoliaroad-Request-Id: {request_id}\r\n\r\n".encode()
            )
            writer.write(b"half")
            await writer.drain()
            writer.transport.abort()
            return False
        self._write_answer(writer, status, request_id, body, signature)
        await writer.drain()
        if act == "extra":
            await asyncio.sleep(0.05)
            self._write_answer(writer, 200, request_id, b"extra", signature)
        return True

    async def _endless(self, act, writer, request_id):
        head = f"HTTP/1.1 200 OK\r\nMagnoliaroad-Request-Id: {request_id}\r\n"
        if act == "endless_body":
            head += f"Magnoliaroad-Response-Seal: {SIGNATURE}\r\n\r\n"
        if act != "endless_noise":
            writer.write(head.encode())
        piece = b"X-Note: " + b"y" * 990 + b"\r\n" if "head" in act else b"z" * 1000
        while not writer.transport.is_closing():
            writer.write(piece)
            await writer.drain()
        return False

    async def _stream(self, act, writer, request_id, after, pause_s, pad=0):
        chunked = not act.startswith("bare")
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            *(["Transfer-Encoding: chunked"] if chunked else []),
            f"Magnoliaroad-Request-Id: {request_id}",
            f"Magnoliaroad-Response-Seal: {SIGNATURE}",
            *self._stated_headers(),
        ]
        if act == "refusal_first":
            writer.write(REFUSAL)
        head = "\r\n".join([*lines, "", ""]).encode()
        if act == "head_cut":
            writer.write(head[: len(head) // 2])
            return False
        writer.write(head)
        suffix = "" if self.version == "v1" else f"-{self.version}"
        if pad:
            suffix += f"\ndata: {'x' * pad}"
        for number in range(after + 1, self.events + 1):
            if act == "cut" and number == self.events:
                await writer.drain()
                writer.transport.abort()
                return False
            if act == "bare_reset" and number == self.events:
                await asyncio.sleep(READ_TIME_S)
                reset(writer)
                return False
            event = f"id: {number}\ndata: word{number}{suffix}\n\n".encode()
            if act.endswith("_half") and number == self.events:
                event = half_event(event)
            size = f"{len(event):x}\r\n".encode()
            writer.write(size + event + b"\r\n" if chunked else event)
            await writer.drain()
            await asyncio.sleep(0.3 if act == "slowly" else pause_s)
            while act == "trickle" and not writer.transport.is_closing():
                writer.write(b"1\r\n:\r\n")
                await asyncio.sleep(0.05)
        if chunked:
            writer.write(b"0\r\n\r\n")
        return chunked

    def _stated_headers(self):
        stated = {
            "server-leaving": self.leaving,
            "server-limit": self.limit,
            "magnoliaroad-server-load": self.load,
            "magnoliaroad-cold-ms": self.cold_ms,
        }
        return [
            f"{name}: {value}" for name, value in stated.items() if value is not None
        ]

    def _write_answer(self, writer, status, request_id, body, extra):
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            f"Magnoliaroad-Request-Id: {request_id}",
            *self._stated_headers(),
        ]
        if extra:
            lines.append(extra)
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
