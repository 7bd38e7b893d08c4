"""Callers of the soak test that check what the hosts guarantee."""

import asyncio
import itertools
import re
import time
from collections import Counter
from typing import NamedTuple

import aiohttp

from tests.platform.deployment import KEY

MAX_TURN_TOKENS = 100
EVENT_TOKENS = 10
EVENTS_PER_STREAM = 6
# An event of a stream: its id, and the suffix that targets of version v2 write.
EVENT = re.compile(r"id: (\d+)\ndata: word\1(-v2)?")
# Maximum number of attempts to resume a stream.
MAX_RESUMES = 3
# Longest pause before an attempt to resume a stream.
RESUME_PAUSE_S = 0.3
NOT_RUN_STATUSES = (402, 408, 421, 429, 503)
CALL_TIMEOUT = aiohttp.ClientTimeout(4.0)
# Body of a request that crashes every target that starts to run it.
POISON = b"poison"


def whole_events(received):
    """Returns the events without an incomplete one at the end."""
    return received.decode().split("\n\n")[:-1]


def version_of(events):
    """Returns the version of the target that wrote the first of ``events``."""
    return "v2" if events[0].endswith("-v2") else "v1"


def stream_problem(events, complete):
    """Returns what is wrong with a stream; empty if nothing is.

    Args:
        events: Its events from all attempts, in the order of their arrival.
        complete: Whether an attempt reached the end of the stream.
    """
    matches = [EVENT.fullmatch(event) for event in events]
    if None in matches:
        return f"unknown event in {events}"
    versions = ["v2" if match[2] else "v1" for match in matches]
    if len(set(versions)) > 1:
        return f"events of two versions: {' '.join(versions)}"
    ids = [int(match[1]) for match in matches]
    if ids != list(range(1, len(ids) + 1)):
        return f"events {ids}"
    if complete and len(ids) != EVENTS_PER_STREAM:
        return f"complete with {len(ids)} events"
    return ""


class StreamAttempt(NamedTuple):
    """What a caller received of a stream in one attempt.

    Attributes:
        status: Status of the answer; ``None`` if it broke off.
        events: The new events.
    """

    status: int | None
    events: list[str]


class FirstTry(NamedTuple):
    """A request that was sent once.

    Attributes:
        host: The host that it was sent to.
        sent_at: Monotonic time in seconds.
        served: Whether it was answered with success.
    """

    host: object
    sent_at: float
    served: bool


class Callers:
    """Sends payments, look-ups, program turns and resumable streams.

    It records the responses.

    Attributes:
        violations: Messages about violated guarantees that callers noticed.
        histories: History that a target must receive before the input of a turn, by the
            turn's request id.
        reported_not_run: Ids of the requests that were reported as not run.
        tokens: Number of tokens received, by program.
        answered: Number of requests with a successful answer.
        poison_sent_at: Times at which the crashing request was sent to a host in
            contact, by request id; in seconds of the event loop's clock.
        first_tries: The requests to services.
        resumes_tried: Number of requests to resume a stream.
        due_resumes: Number of those that were answered and sent while the fleet could
            resume the stream, by status.
        resumes_continued: Number of those that received further events.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.violations = []
        self.histories = {}
        self.budgets = {}
        self.tokens = {}
        self.reported_not_run = set()
        self.answered = 0
        self.poison_sent_at = {}
        self.resumes_tried = 0
        self.due_resumes = Counter()
        self.resumes_continued = 0
        self.first_tries = []
        self._numbers = itertools.count(1)

    async def run(self, end):
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            draw = self.rng.random()
            if draw < 0.02:
                await self.call_service("/pay/x", "POST", POISON)
            elif draw < 0.35:
                await self.call_service("/pay/x", "POST", b"money")
            elif draw < 0.5:
                await self.call_service("/safe/x", "GET", b"")
            else:
                await self.run_program()
            await asyncio.sleep(self.rng.random() * 0.05)

    async def run_streams(self, end):
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await self.run_stream()
            await asyncio.sleep(self.rng.random() * 0.05)

    async def run_stream(self):
        """Receives a resumable stream; resumes it when it breaks off."""
        stream = request_id = f"s-{next(self._numbers)}"
        began_at = time.monotonic()
        relay = self.rng.choice(self.fleet.relay_hosts)
        attempt = await self.attempt_stream(stream, relay)
        events = attempt.events
        for _ in range(MAX_RESUMES):
            if self._is_over(request_id, stream, attempt, events):
                return
            await asyncio.sleep(self.rng.random() * RESUME_PAUSE_S)
            request_id = f"s-{next(self._numbers)}"
            due = len(events) < EVENTS_PER_STREAM and self.fleet.can_resume(
                version_of(events), began_at
            )
            relay = self.rng.choice(self.fleet.relay_hosts)
            attempt = await self.attempt_stream(request_id, relay, stream, events)
            events = events + attempt.events
            self.resumes_tried += 1
            self.resumes_continued += bool(attempt.events)
            if due and attempt.status is not None:
                self.due_resumes[attempt.status] += 1
        self._is_over(request_id, stream, attempt, events)

    async def attempt_stream(self, request_id, relay, resumed="", events=()):
        """Requests a stream, or the rest of the stream ``resumed`` after ``events``."""
        headers, received = {}, bytearray()
        if resumed:
            headers = {"Last-Event-Id": str(len(events)), "Resumes": resumed}
        status, _ = await self._send(
            request_id, "/plan/x", "POST", b"goal", headers, received, relay
        )
        new = whole_events(received) if status in (200, None) else []
        return StreamAttempt(status, new)

    def _is_over(self, request_id, stream, attempt, events):
        """Checks a stream after an attempt; returns whether it is not resumed."""
        problem = stream_problem(events, attempt.status == 200)
        if problem:
            self.violations.append(f"{request_id} of stream {stream}: {problem}")
        return bool(problem) or attempt.status == 200 or not events

    async def call_service(self, path, method, body, relay=None):
        request_id = f"r-{next(self._numbers)}"
        relay = relay or self.rng.choice(self.fleet.relay_hosts)
        now = time.monotonic()
        status, answer = await self._send(
            request_id, path, method, body, {}, relay=relay
        )
        if body != POISON:
            self.first_tries.append(FirstTry(relay, now, status == 200))
        if status == 200 and answer not in (b"whole", None):
            self.violations.append(f"{request_id}: body {answer!r}")
        return status

    async def run_program(self):
        name = f"p-{next(self._numbers)}"
        budget = self.budgets[name] = self.rng.choice((200, 500, 1000))
        self.tokens[name] = 0
        previous, history = "", b""
        for _ in range(self.rng.randrange(1, 6)):
            request_id = f"t-{next(self._numbers)}"
            self.histories[request_id] = history
            body = f"{request_id};".encode()
            headers = {
                "Magnoliaroad-Program-Id": name,
                "Magnoliaroad-Token-Count": f"100,{MAX_TURN_TOKENS}",
                "Magnoliaroad-Token-Budget": str(budget),
            }
            if previous:
                headers["Magnoliaroad-Previous-Turn"] = previous
            received = bytearray()
            status, answer = await self._send(
                request_id, "/stream/t", "POST", body, headers, received
            )
            self.tokens[name] += received.count(b"data: ") * EVENT_TOKENS
            if status == 404 and previous:
                self.violations.append(
                    f"{request_id}: previous turn {previous} reported as unknown"
                )
            if status != 200 or answer is None:
                return
            lines = answer.decode().splitlines()
            events = [line[6:] for line in lines if line.startswith("data: ")]
            if len(events) != EVENTS_PER_STREAM:
                self.violations.append(
                    f"{request_id}: complete answer with {len(events)} events"
                )
            history += body + "".join(f"{event}\n" for event in events).encode()
            previous = request_id

    async def _send(
        self, request_id, path, method, body, headers, received=None, relay=None
    ):
        """Returns the status and the body; both are ``None`` if it broke off.

        ``received``, if given, then still gets the part of the body that arrived.
        Without ``relay`` any relay host is chosen.
        """
        relay = relay or self.rng.choice(self.fleet.relay_hosts)
        now = asyncio.get_running_loop().time()
        if body == POISON and relay.in_contact(now):
            self.poison_sent_at[request_id] = now
        headers = {
            "Host": "arcade.example",
            "Authorization": f"Bearer {KEY}",
            "Magnoliaroad-Request-Id": request_id,
            "Magnoliaroad-Deadline-Ms": "3000",
            **headers,
        }
        received = bytearray() if received is None else received
        try:
            async with self.fleet.session.request(
                method,
                f"http://{relay.caller_address}{path}",
                data=body or None,
                headers=headers,
                timeout=CALL_TIMEOUT,
            ) as resp:
                status = resp.status
                if (
                    resp.headers.get("Magnoliaroad-Request-Id", request_id)
                    != request_id
                ):
                    self.violations.append(
                        f"{request_id}: received another request's answer"
                    )
                if status in NOT_RUN_STATUSES:
                    self.reported_not_run.add(request_id)
                async for chunk in resp.content.iter_any():
                    received += chunk
        except (aiohttp.ClientError, TimeoutError):
            return None, None
        self.answered += status == 200
        return status, bytes(received)
