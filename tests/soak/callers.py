"""Callers of the soak test that check what the hosts guarantee."""

import asyncio
import itertools

import aiohttp

from tests.platform.deployment import KEY

MAX_TURN_TOKENS = 100
EVENT_TOKENS = 10
NOT_RUN_STATUSES = (402, 408, 421, 429, 503)
CALL_TIMEOUT = aiohttp.ClientTimeout(4.0)
# Body of a request that crashes every target that starts to run it.
POISON = b"poison"


class Callers:
    """Sends payments, look-ups and program turns, and records the responses.

    Attributes:
        violations: Messages about violated guarantees that callers noticed.
        histories: History that a target must receive before the input of a turn, by the
            turn's request id.
        reported_not_run: Ids of the requests that were reported as not run.
        tokens: Number of tokens received, by program.
        answered: Number of requests with a successful answer.
        poison_sent_at: Times at which the crashing request was sent to a host in
            contact, by request id; in seconds of the event loop's clock.
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

    async def call_service(self, path, method, body):
        request_id = f"r-{next(self._numbers)}"
        status, answer = await self._send(request_id, path, method, body, {})
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
            status, answer = await self._send(
                request_id, "/stream/t", "POST", body, headers, name
            )
            if status == 404 and previous:
                self.violations.append(
                    f"{request_id}: previous turn {previous} reported as unknown"
                )
            if status != 200 or answer is None:
                return
            lines = answer.decode().splitlines()
            events = [line[6:] for line in lines if line.startswith("data: ")]
            if len(events) != 6:
                self.violations.append(
                    f"{request_id}: complete answer with {len(events)} events"
                )
            history += body + "".join(f"{event}\n" for event in events).encode()
            previous = request_id

    async def _send(self, request_id, path, method, body, headers, program=None):
        relay = self.rng.choice(self.fleet.relay_hosts)
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
        received = b""
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
        finally:
            if program is not None:
                events = received.count(b"data: ")
                self.tokens[program] += events * EVENT_TOKENS
        self.answered += status == 200
        return status, received
