"""``magnoliaroad explain``: shows where a relay host would send a request."""

import asyncio
import json
from typing import Any

import aiohttp
from cleo.commands.command import Command
from cleo.helpers import argument, option

from magnoliaroad.cli.store_command import EXIT_DONE, EXIT_NOTHING_CHANGED, EXIT_USAGE
from magnoliaroad.explain.endpoint import PATH
from magnoliaroad.explain.text import to_lines

# Longest wait for the answer, in seconds; a host answers from its memory.
TIMEOUT_S = 5.0
# Options that are fields of the query.
FIELDS = ("method", "team", "program", "prompt-tokens", "output-tokens", "request")


class ExplainCommand(Command):
    """Asks a running relay host; the request is not sent, and nothing is counted."""

    name = "explain"
    description = "Show where a relay host would send a request now, and why."
    arguments = [
        argument("address", "Metrics address ip:port of a relay host."),
        argument("host", "Host name that the request names."),
        argument("path", "Path of the request."),
    ]
    options = [
        option("method", None, "HTTP method.", flag=False),
        option("team", None, "Name of the team; never a key.", flag=False),
        option("program", None, "Id of the program.", flag=False),
        option("prompt-tokens", None, "Tokens of the prompt.", flag=False),
        option("output-tokens", None, "Most tokens of the output.", flag=False),
        option("request", None, "Id of the request; breaks ties.", flag=False),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Prints the explanation; returns 2 if a field is not sound."""
        fields = {"host": self.argument("host"), "path": self.argument("path")}
        for name in FIELDS:
            if self.option(name) is not None:
                fields[name.replace("-", "_")] = self.option(name)
        try:
            status, found = asyncio.run(_ask(self.argument("address"), fields))
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            reason = str(exc) or type(exc).__name__
            self.line_error(f"address: no answer of a relay host: {reason}")
            return EXIT_NOTHING_CHANGED
        if status != 200:
            self.line_error(str(found["error"]))
            return EXIT_USAGE
        if self.option("json"):
            self.line(json.dumps(found, indent=2))
        else:
            for line in to_lines(found):
                self.line(line)
        return EXIT_DONE


async def _ask(address: str, fields: dict[str, str]) -> tuple[int, dict[str, Any]]:
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        url = f"http://{address}{PATH}"
        async with session.get(url, params=fields) as resp:
            # Hosts of an earlier build answer with their metrics, which are no JSON.
            return resp.status, await resp.json()
