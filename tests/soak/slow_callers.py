"""Callers of the soak test that read slowly and keep their connections."""

import asyncio
import functools
import itertools
import random
import time
from http import HTTPStatus
from typing import NamedTuple

from tests.platform.deployment import KEY
from tests.platform.target_standin import large_body
from tests.soak.callers import NOT_RUN_STATUSES, stream_problem, whole_events
from tests.soak.fleet import NOTICE_S
from tests.soak.slow_conn import ConnClosed, FramingError, Pace, SlowConn

# Time limit of the requests, by the prefix of the path; as the routes have it.
SHORT_LIMIT_S = 2.0
LARGE_LIMIT_S = 5.0
# Time after the limit until a caller closes the connection.
PATIENCE_S = 2.0
# Share of the requests that are sent in two pieces, and the time between these.
PIECEWISE_SHARE = 0.2
PIECE_PAUSE_S = 0.3
# Share of the requests that are followed by another before their answer is read, and
# the longest time until it is.
FOLLOWED_SHARE = 0.3
MAX_UNREAD_S = 2.0
# Time between checks whether a host is about to stop.
STOP_CHECK_INTERVAL_S = 0.02
# Time after SIGTERM until no caller opens connections on account of it.
MAX_LISTEN_S = NOTICE_S + 0.3
# Pause after a connection that could not be opened.
CONNECT_PAUSE_S = 0.1
# Share of the connections at a stop whose request ends late in the drain, and the
# longest time until it does.
LATE_SHARE = 0.2
MAX_LATE_S = 4.5
# Longest program whose turns are read slowly.
MAX_SLOW_TURNS = 4
# How an exchange ended if its connection did so with the answer before.
ENDED_BEFORE = "end before it"


class Request(NamedTuple):
    """A request to a host.

    Attributes:
        request_id: Its id.
        path: Its path.
        body: Its body; GET is sent if it is empty.
        host: The host process that the connection was opened to.
        limit_s: Its time limit, in seconds.
        is_fresh: Whether it is sent as soon as its connection is open, at once.
        headers: Further header lines.
    """

    request_id: str
    path: str
    body: bytes
    host: object
    limit_s: float
    is_fresh: bool = False
    headers: tuple[str, ...] = ()

    @property
    def is_streamed(self):
        return self.path.startswith(("/plan/", "/stream/"))

    def as_bytes(self):
        lines = [
            f"{'POST' if self.body else 'GET'} {self.path} HTTP/1.1",
            "Host: arcade.example",
            f"Authorization: Bearer {KEY}",
            f"Magnoliaroad-Request-Id: {self.request_id}",
            f"Magnoliaroad-Deadline-Ms: {int(self.limit_s * 1000)}",
            f"Content-Length: {len(self.body)}",
            *self.headers,
        ]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class Exchange(NamedTuple):
    """A request that did not get a whole answer.

    Attributes:
        request: The request.
        began_at: Time at which its first byte was sent.
        sent_at: Time at which its last byte was sent or could not be sent, or at which
            the answer before its own was read.
        ended_at: Time at which the caller saw the end of the connection.
        received: Number of bytes of the answer.
        end: How the connection ended; empty if the caller closed it.
        followed: Whether another request was sent before the answer had been read.
    """

    request: Request
    began_at: float
    sent_at: float
    ended_at: float
    received: int
    end: str
    followed: bool = False


class Sent(NamedTuple):
    """A request that was sent.

    Attributes:
        request: The request.
        began_at: Time at which its first byte was sent.
        sent_at: Time at which its last byte was sent or could not be sent.
        error: Why it could not be sent whole; empty if it was.
    """

    request: Request
    began_at: float
    sent_at: float
    error: str


class SlowCallers:
    """Sends requests on kept connections and reads the answers slowly.

    Some requests are sent in pieces, some while the answer before theirs is unread.

    Attributes:
        unanswered: The exchanges without a whole answer.
        answered: Number of the others.
    """

    def __init__(self, fleet, callers, seed):
        self.fleet = fleet
        self.callers = callers
        self.rng = random.Random(f"slow callers {seed}")
        self.unanswered = []
        self.answered = 0
        self._numbers = itertools.count(1)

    async def run(self, end):
        """Opens one connection after another."""
        while time.monotonic() < end:
            host = self.rng.choice(self.fleet.relay_hosts)
            await self._connect(host, functools.partial(self._use, end=end))

    async def run_at_stops(self, end):
        """Opens a connection for each request while a host is about to stop.

        Some of the requests end late in its drain.
        """
        while time.monotonic() < end:
            stopping = [h for h in self.fleet.relay_hosts if _listens_at_stop(h)]
            if stopping:
                late = self.rng.random() < LATE_SHARE
                use = self._use_late if late else self._use_once
                await self._connect(self.rng.choice(stopping), use)
            await asyncio.sleep(0.0 if stopping else STOP_CHECK_INTERVAL_S)

    async def run_programs(self, end):
        """Reads the turns of one program after another slowly."""
        while time.monotonic() < end:
            host = self.rng.choice(self.fleet.relay_hosts)
            await self._connect(host, self._use_program)

    async def _connect(self, host, use):
        name = f"c-{next(self._numbers)}"
        try:
            async with asyncio.timeout(1.0):
                conn = await SlowConn.open(host.caller_address)
        except (OSError, TimeoutError):
            await asyncio.sleep(CONNECT_PAUSE_S)
            return
        try:
            await use(conn, host, name)
        except FramingError as exc:
            self.callers.violations.append(f"{name}: {exc}")
        finally:
            conn.close()

    async def _use(self, conn, host, name, end):
        """Sends requests until the host closes the connection."""
        numbers, goes_on = itertools.count(1), True
        while goes_on and time.monotonic() < end and conn.is_open():
            number = next(numbers)
            piecewise = self.rng.random() < PIECEWISE_SHARE
            request = self._choose_request(f"{name}-{number}", host)
            request = request._replace(is_fresh=number == 1 and not piecewise)
            sent = await self._send(conn, request, PIECE_PAUSE_S if piecewise else 0.0)
            if self.rng.random() < FOLLOWED_SHARE:
                await asyncio.sleep(self.rng.uniform(0.0, MAX_UNREAD_S))
                request = self._choose_request(f"{name}-{next(numbers)}", host)
                following = await self._send(conn, request)
                goes_on = await self._read_both(conn, sent, following)
            else:
                goes_on = await self._read(conn, sent, self._choose_pace())
            await asyncio.sleep(self.rng.choice((0.0, 0.02, 0.3, 0.8)))

    async def _use_program(self, conn, host, name):
        """Sends turns with large answers; each continues the one before."""
        previous, history, goes_on = "", b"", True
        for number in range(1, MAX_SLOW_TURNS + 1):
            if not goes_on or not conn.is_open():
                return
            request_id = f"{name}-{number}"
            self.callers.histories[request_id] = history
            body = f"{request_id};".encode()
            headers = (f"Magnoliaroad-Program-Id: {name}",)
            if previous:
                headers += (f"Magnoliaroad-Previous-Turn: {previous}",)
            path = "/stream/large/x"
            request = Request(
                request_id, path, body, host, LARGE_LIMIT_S, headers=headers
            )
            sent = await self._send(conn, request)
            answer = bytearray()
            goes_on = await self._read(conn, sent, self._choose_pace(), answer=answer)
            if not answer:
                return
            previous, events = request_id, whole_events(answer)
            lines = [line[6:] for e in events for line in e.split("\n")[1:]]
            history += body + "".join(f"{line}\n" for line in lines).encode()

    async def _use_once(self, conn, host, name):
        request = Request(name, "/safe/x", b"", host, SHORT_LIMIT_S, is_fresh=True)
        await self._read(conn, await self._send(conn, request), Pace())

    async def _use_late(self, conn, host, name):
        """Ends a request late in the drain; its connection is in use until then."""
        path = f"/safe/large/{self.rng.randrange(20_000, 60_000)}"
        request = Request(name, path, b"m" * 200, host, LARGE_LIMIT_S)
        pause_s = self.rng.uniform(0.5, MAX_LATE_S)
        await self._read(conn, await self._send(conn, request, pause_s), Pace())

    async def _send(self, conn, request, pause_s=0.0):
        began_at, error = time.monotonic(), ""
        try:
            await conn.send(request.as_bytes(), pause_s)
        except OSError as exc:
            error = type(exc).__name__
        return Sent(request, began_at, time.monotonic(), error)

    async def _read_both(self, conn, first, second):
        """Reads the answers to two requests; returns as ``_read`` does."""
        goes_on = await self._read(conn, first, self._choose_pace(), followed=True)
        second = second._replace(sent_at=max(second.sent_at, time.monotonic()))
        if goes_on:
            return await self._read(conn, second, Pace())
        # Where the caller gave up the first, it closes the connection itself.
        if not self._gave_up(first.request):
            self._record_end(second, 0, second.error or ENDED_BEFORE)
        return False

    def _gave_up(self, request):
        """Returns whether the last exchange is one that its caller gave up."""
        last = self.unanswered[-1:]
        return any(e.request is request and not e.end for e in last)

    async def _read(self, conn, sent, pace, followed=False, answer=None):
        """Returns whether the connection may be used for another request.

        ``answer``, if given, gets the body of a success.
        """
        request, end = sent.request, sent.error
        if end:
            self._record_end(sent, 0, end)
            return False
        try:
            async with asyncio.timeout(request.limit_s + PATIENCE_S):
                got = await conn.read_answer(pace, followed)
        except ConnClosed as exc:
            end = str(exc)
        except TimeoutError:
            pass
        except FramingError as exc:
            raise FramingError(f"{request.request_id} {request.path}: {exc}") from exc
        else:
            self.answered += 1
            self._check(sent, got)
            if answer is not None and got.status == HTTPStatus.OK:
                answer += got.body
            return got.headers.get("connection", "").lower() != "close"
        self._record_end(sent, conn.received, end, followed)
        return False

    def _record_end(self, sent, received, end, followed=False):
        request, began_at, sent_at, _ = sent
        ended_at = time.monotonic()
        self.unanswered.append(
            Exchange(request, began_at, sent_at, ended_at, received, end, followed)
        )

    def _choose_request(self, request_id, host):
        draw, rng = self.rng.random(), self.rng
        if draw < 0.5:
            # Handlers of smaller answers return before the answer has been sent.
            size = rng.randrange(20_000, 200_000 if rng.random() < 0.5 else 60_000)
            path = f"/safe/large/{size}"
            return Request(request_id, path, b"", host, LARGE_LIMIT_S)
        if draw < 0.65:
            return Request(request_id, "/plan/large/x", b"goal", host, LARGE_LIMIT_S)
        if draw < 0.75:
            self.callers.histories[request_id] = b""
            body = f"{request_id};".encode()
            return Request(request_id, "/stream/t", body, host, SHORT_LIMIT_S)
        if draw < 0.85:
            return Request(request_id, "/pay/x", b"money", host, SHORT_LIMIT_S)
        return Request(request_id, "/safe/x", b"", host, SHORT_LIMIT_S)

    def _choose_pace(self):
        rng = self.rng
        return Pace(
            rng.choice((1024, 4096, 16_384)),
            rng.choice((0.0, 0.005, 0.02)),
            rng.randrange(0, 30_000),
            rng.choice((0.0, 0.3, 1.2, 2.0, 3.0)),
        )

    def _check(self, sent, answer):
        request_id, path = sent.request.request_id, sent.request.path
        status, headers, body = answer
        problem = ""
        if headers.get("magnoliaroad-request-id") != request_id and not (
            is_late_head(sent, answer)
        ):
            problem = f"answer has {headers.get('magnoliaroad-request-id')!r} as its id"
        elif status in NOT_RUN_STATUSES:
            self.callers.reported_not_run.add(request_id)
        elif status == 200:
            problem = body_problem(request_id, path, body)
        if problem:
            self.callers.violations.append(f"{request_id} {path}: {problem}")


def is_late_head(sent, answer):
    """Returns whether a host refused a request before it could read its id."""
    return (
        sent.sent_at - sent.began_at > PIECE_PAUSE_S / 2
        and answer.status == HTTPStatus.REQUEST_TIMEOUT
        and "magnoliaroad-request-id" not in answer.headers
        and answer.headers.get("connection") == "close"
    )


def body_problem(request_id, path, body):
    """Returns what is wrong with the body of a success; empty if nothing is."""
    if path.startswith(("/plan/", "/stream/")):
        events = [
            "\n".join(event.split("\n")[:2]) for event in whole_events(bytes(body))
        ]
        return stream_problem(events, complete=True)
    expected = large_body(path, request_id) or b"whole"
    if body == expected:
        return ""
    return f"body of {len(body)} bytes {body[:40]!r}, expected {len(expected)}"


def _listens_at_stop(host):
    """Returns whether a host has got SIGTERM and still accepts connections."""
    stops = host.stops.items
    return bool(stops) and stops[-1].is_open and stops[-1].age_s < MAX_LISTEN_S
