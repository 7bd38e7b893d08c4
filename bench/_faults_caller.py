"""Callers that replay recorded programs and record the responses."""

import asyncio
import json
import random
import re
import time
from typing import Any, NamedTuple

import aiohttp

from bench._faults_fleet import Fleet
from bench._faults_trace import TracedProgram, TracedTurn

CALL_TIMEOUT_S = 40.0
GIVE_UP_S = 45.0
RETRY_S = 0.25
EXPECTED_TURN = re.compile(r"at turn (\d+)")
NOT_RUN = "not run"
LOST = "lost"


class Outcome(NamedTuple):
    """Outcome of one request, as its caller sees it.

    Attributes:
        kind: ``answer``, the verdict of a refusal, ``not run`` if no connection
            was made, or ``lost`` if the connection broke.
        code: Code of the refusal; empty for answers.
        body: Body of the answer, or message of the refusal.
    """

    kind: str
    code: str = ""
    body: Any = None


class CallerRecords:
    """Outcomes recorded by all callers.

    Attributes:
        acknowledged: Numbers of the turns that were answered completely, by program.
        lost: Acknowledged turns, as program and number, that hosts later did not know.
        payments: Outcomes of each payment, by idempotency key.
        requests: Number of requests sent.
        refused: Number of requests refused.
        stalls: For turns and payments that were retried, the times of the first
            attempt and of the answer, by ``time.monotonic``.
        truncated: Number of incomplete answers that ended without an error.
        mixed_up: Number of answers that belonged to another request.
        given_up: Turns without an answer within ``GIVE_UP_S``.
        codes: Number of refusals by code.
        notes: Messages that help to find the cause of a failure.
    """

    def __init__(self) -> None:
        self.acknowledged: dict[str, list[int]] = {}
        self.lost: set[tuple[str, int]] = set()
        self.payments: dict[str, list[Outcome]] = {}
        self.requests = 0
        self.refused = 0
        self.stalls: list[tuple[float, float]] = []
        self.truncated = 0
        self.mixed_up = 0
        self.given_up: list[str] = []
        self.codes: dict[str, int] = {}
        self.notes: list[str] = []


class Caller:
    """Replays one program; sends each request to a host chosen at random."""

    def __init__(
        self,
        fleet: Fleet,
        session: aiohttp.ClientSession,
        program: TracedProgram,
        records: CallerRecords,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.session = session
        self.program = program
        self.records = records
        self._random = random.Random(f"{seed}/{program.program}")
        self._history: list[dict[str, Any]] = []
        self._host = 0
        self._payments: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Replays all turns of the program, then ends it."""
        await asyncio.sleep(self.program.start_s)
        acknowledged = self.records.acknowledged.setdefault(self.program.program, [])
        for number, turn in enumerate(self.program.turns, start=1):
            await asyncio.sleep(turn.pause_s)
            if not await self._run_turn(number, turn):
                break
            acknowledged.append(number)
            if turn.pay:
                task = asyncio.create_task(self._pay(turn))
                self._payments.add(task)
        await asyncio.gather(*self._payments)
        await self._end_program()

    async def _run_turn(self, number: int, turn: TracedTurn) -> bool:
        message = {"role": "user", "content": turn.text}
        started = time.monotonic()
        refused = False
        notes = []
        while time.monotonic() - started < GIVE_UP_S:
            outcome = await self._send_turn(number, message)
            notes.append(
                f"{time.time():.1f} {self._host} {outcome.kind} {outcome.code}"
            )
            if outcome.kind == "answer":
                self._history += [message, outcome.body]
                if refused:
                    self.records.stalls.append((started, time.monotonic()))
                return True
            if outcome.code in ("budget_spent", "turn_limit"):
                return False
            if outcome.code == "turn_out_of_order":
                self._record_lost_turns(outcome.body)
            refused = True
            await asyncio.sleep(RETRY_S)
        self.records.given_up.append(f"{self.program.program}/{number}: {notes}")
        return False

    def _record_lost_turns(self, text: str) -> None:
        expected = int(EXPECTED_TURN.search(text)[1])
        program = self.program.program
        acknowledged = self.records.acknowledged[program]
        self.records.lost |= {
            (program, turn) for turn in acknowledged if turn >= expected
        }

    async def _send_turn(self, number: int, message: dict[str, Any]) -> Outcome:
        messages = [*self._history, message] if self.program.whole else [message]
        body = {"model": "planner", "messages": messages, "max_tokens": 64}
        if self.program.stream:
            body["stream"] = True
        headers = self._headers() | {"X-Program-Turn": str(number)}
        outcome = await self._post("/v1/chat/completions", body, headers)
        if outcome.kind != "answer":
            return outcome
        try:
            return outcome._replace(body=_message(outcome.body, self.program.stream))
        except ValueError:
            self.records.truncated += not _ends_with_error(outcome.body)
            return Outcome(LOST)

    async def _pay(self, turn: TracedTurn) -> None:
        outcomes = self.records.payments.setdefault(turn.pay, [])
        started = time.monotonic()
        remaining = turn.repeats + 1
        while remaining and time.monotonic() - started < GIVE_UP_S:
            outcomes.append(await self._send_payment(turn.pay))
            final = outcomes[-1].kind == "answer" or outcomes[-1].code == "may_have_run"
            if final and len(outcomes) > 1 and remaining == turn.repeats + 1:
                self.records.stalls.append((started, time.monotonic()))
            remaining -= final
            await asyncio.sleep(RETRY_S)

    async def _send_payment(self, key: str) -> Outcome:
        headers = self._headers() | {"Idempotency-Key": key}
        outcome = await self._post("/services/payouts/pay", {"order": key}, headers)
        if outcome.kind == "answer":
            received = json.loads(outcome.body)["received"]
            self.records.mixed_up += json.loads(received) != {"order": key}
        return outcome

    async def _end_program(self) -> None:
        path = f"/v1/programs/{self.program.program}"
        for _ in range(40):
            try:
                async with self.session.delete(
                    self._url() + path, headers=self._headers()
                ) as resp:
                    if resp.status < 300 or resp.status == 404:
                        self._record_end(resp.status)
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(RETRY_S)
        self.records.notes.append(f"program {self.program.program} could not be ended")

    def _record_end(self, status: int) -> None:
        if status != 200:
            note = f"{self.program.program}: end answered {status} by host {self._host}"
            self.records.notes.append(note)

    async def _post(self, path: str, body: Any, headers: dict[str, str]) -> Outcome:
        self.records.requests += 1
        outcome = await self._post_once(path, body, headers)
        if outcome.kind not in ("answer", LOST):
            self.records.refused += 1
        if outcome.code:
            self.records.codes[outcome.code] = (
                self.records.codes.get(outcome.code, 0) + 1
            )
        return outcome

    async def _post_once(
        self, path: str, body: Any, headers: dict[str, str]
    ) -> Outcome:
        url = self._url() + path
        try:
            async with self.session.post(url, json=body, headers=headers) as resp:
                data = await resp.read()
        except aiohttp.ClientConnectorError:
            return Outcome(NOT_RUN)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Outcome(LOST)
        if resp.status == 200:
            return Outcome("answer", body=data)
        try:
            error = json.loads(data)["error"]
        except (ValueError, KeyError):
            return Outcome(LOST, code=f"status {resp.status}")
        return Outcome(error["verdict"], error["code"], error["message"])

    def _headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer key-{self.program.team}",
            "X-Program-Id": self.program.program,
        }

    def _url(self) -> str:
        self._host = self._random.choice(list(self.fleet.numbers))
        return self.fleet.url(self._host)


def _message(data: bytes, stream: bool) -> dict[str, Any]:
    if not stream:
        return json.loads(data)["choices"][0]["message"]
    lines = [line for line in data.split(b"\n") if line.startswith(b"data: ")]
    if not lines or lines[-1] != b"data: [DONE]":
        raise ValueError("the stream ended without [DONE]")
    chunks = [json.loads(line[6:]) for line in lines[:-1]]
    choices = [choice for chunk in chunks for choice in chunk["choices"]]
    text = "".join(choice["delta"].get("content") or "" for choice in choices)
    return {"role": "assistant", "content": text}


def _ends_with_error(data: bytes) -> bool:
    lines = [line for line in data.split(b"\n") if line.startswith(b"data: ")]
    return bool(lines) and b'"error"' in lines[-1]
