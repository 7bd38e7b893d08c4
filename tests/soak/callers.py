"""Callers of the soak test that check what the hosts guarantee."""

import asyncio
import itertools

import aiohttp

from tests.platform.deployment import KEY

MOST_TOKENS = 100
EVENT_TOKENS = 10
PROMISES = (402, 408, 421, 429, 503)
LIMIT = aiohttp.ClientTimeout(4.0)
# Body of a request that crashes every target that starts to run it.
POISON = b"poison"


class Callers:
    """Sends payments, look-ups and program turns, and records the responses.

    Attributes:
        broken: Messages about violated guarantees that callers noticed.
        chains: History that a target must receive before the input of a turn, by the
            turn's request id.
        promised: Ids of the requests that were reported as not run.
        tokens: Number of tokens received, by program.
        answered: Number of requests with a successful answer.
        poison: Times at which the crashing request was sent to a host in contact, by
            request id; in seconds of the event loop's clock.
    """

    def __init__(self, fleet, chance):
        self.fleet = fleet
        self.chance = chance
        self.broken = []
        self.chains = {}
        self.budgets = {}
        self.tokens = {}
        self.promised = set()
        self.answered = 0
        self.poison = {}
        self._numbers = itertools.count(1)

    async def work(self, ends):
        loop = asyncio.get_running_loop()
        while loop.time() < ends:
            draw = self.chance.random()
            if draw < 0.02:
                await self.plain("/pay/x", "POST", POISON)
            elif draw < 0.35:
                await self.plain("/pay/x", "POST", b"money")
            elif draw < 0.5:
                await self.plain("/safe/x", "GET", b"")
            else:
                await self.program()
            await asyncio.sleep(self.chance.random() * 0.05)

    async def plain(self, path, method, body):
        request_id = f"r-{next(self._numbers)}"
        status, answer = await self._send(request_id, path, method, body, {})
        if status == 200 and answer not in (b"whole", None):
            self.broken.append(f"{request_id}: body {answer!r}")
        return status

    async def program(self):
        name = f"p-{next(self._numbers)}"
        budget = self.budgets[name] = self.chance.choice((200, 500, 1000))
        self.tokens[name] = 0
        previous, chain = "", b""
        for _ in range(self.chance.randrange(1, 6)):
            request_id = f"t-{next(self._numbers)}"
            self.chains[request_id] = chain
            body = f"{request_id};".encode()
            headers = {
                "Magnoliaroad-Program-Id": name,
                "Magnoliaroad-Token-Count": f"100,{MOST_TOKENS}",
                "Magnoliaroad-Token-Budget": str(budget),
            }
            if previous:
                headers["Magnoliaroad-Previous-Turn"] = previous
            status, answer = await self._send(
                request_id, "/stream/t", "POST", body, headers, name
            )
            if status == 404 and previous:
                self.broken.append(
                    f"{request_id}: previous turn {previous} reported as unknown"
                )
            if status != 200 or answer is None:
                return
            lines = answer.decode().splitlines()
            words = [line[6:] for line in lines if line.startswith("data: ")]
            if len(words) != 6:
                self.broken.append(
                    f"{request_id}: complete answer with {len(words)} events"
                )
            chain += body + "".join(f"{word}\n" for word in words).encode()
            previous = request_id

    async def _send(self, request_id, path, method, body, headers, program=None):
        relay = self.chance.choice(self.fleet.relays)
        now = asyncio.get_running_loop().time()
        if body == POISON and relay.in_contact(now):
            self.poison[request_id] = now
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
                f"http://{relay.callers}{path}",
                data=body or None,
                headers=headers,
                timeout=LIMIT,
            ) as resp:
                status = resp.status
                if (
                    resp.headers.get("Magnoliaroad-Request-Id", request_id)
                    != request_id
                ):
                    self.broken.append(
                        f"{request_id}: received another request's answer"
                    )
                if status in PROMISES:
                    self.promised.add(request_id)
                async for piece in resp.content.iter_any():
                    received += piece
        except (aiohttp.ClientError, TimeoutError):
            return None, None
        finally:
            if program is not None:
                events = received.count(b"data: ")
                self.tokens[program] += events * EVENT_TOKENS
        self.answered += status == 200
        return status, received
