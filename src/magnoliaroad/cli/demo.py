"""``magnoliaroad demo``: runs stand-ins and one host in one process."""

import asyncio

import aiohttp
from cleo.commands.command import Command

from magnoliaroad.logs import setup_logs
from magnoliaroad.logs.settings import LogSettings
from magnoliaroad.standins.deployment import Deployment, deployment

TURNS = (
    "Draft this week's fixtures for four arcades.",
    "Move the Tuesday match to Wednesday.",
    "Send the final list.",
)
TOOL_PAUSE_S = 0.2


class DemoCommand(Command):
    """Runs a program of three turns and sends the same payment twice."""

    name = "demo"
    description = "Run a program and a payment against stand-ins."

    def handle(self) -> int:
        """Runs the demonstration."""
        setup_logs(LogSettings(level="WARNING"))
        asyncio.run(self._run())
        return 0

    async def _run(self) -> None:
        async with deployment() as demo, aiohttp.ClientSession() as session:
            self.line(f"one host at {demo.url}, configuration revision 1")
            await self._run_program(session, demo)
            await self._pay_twice(session, demo)

    async def _run_program(
        self, session: aiohttp.ClientSession, demo: Deployment
    ) -> None:
        messages = []
        headers = demo.headers | {"X-Program-Id": "demo"}
        for number, text in enumerate(TURNS, start=1):
            messages.append({"role": "user", "content": text})
            body = {"model": "planner", "messages": messages}
            url = f"{demo.url}/v1/chat/completions"
            async with session.post(url, json=body, headers=headers) as resp:
                answer = await resp.json()
            messages.append(answer["choices"][0]["message"])
            usage = answer["usage"]
            self.line(
                f"turn {number}: {usage['prompt_tokens']} tokens in,"
                f" {usage['completion_tokens']} out"
            )
            await asyncio.sleep(TOOL_PAUSE_S)

    async def _pay_twice(
        self, session: aiohttp.ClientSession, demo: Deployment
    ) -> None:
        url = f"{demo.url}/services/payouts/pay"
        headers = demo.headers | {"Idempotency-Key": "prize-17"}
        for attempt in (1, 2):
            async with session.post(url, json={"rupees": 500}, headers=headers) as resp:
                answer = await resp.json()
            self.line(f"payment, attempt {attempt}: run {answer['run']}")
        self.line(f"runs at the service: {demo.service.runs['prize-17']}")
