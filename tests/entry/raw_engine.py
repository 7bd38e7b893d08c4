"""An engine that writes given bytes, also ones that nobody has asked for."""

import asyncio
from typing import NamedTuple

from tests.entry.engines import USAGE, event

REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

# Starts of requests that run nothing: checks, and releases of an engine's memory, which
# hosts send whenever their groups are planned.
NO_RUNS = ("get ", "post /v1/cache/")


def answer(text):
    """Returns a whole answer."""
    body = event(text) + event("", finish="stop") + event("", usage=USAGE)
    body += b"data: [DONE]\n\n"
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def body_length(head):
    """Returns the length of the body that follows a head in lower case, 0 if none."""
    return int(head.partition("content-length: ")[2].split("\r\n")[0] or 0)


class Script(NamedTuple):
    """What the engine does for one request.

    Attributes:
        at_head: Bytes that are written when the head has arrived.
        at_body: Bytes that are written when the body has arrived.
        pause_s: Pause before the answer.
        answer: The answer.
        behind: Bytes that are written in one piece with the answer.
        later: Bytes that are written a moment after it.
    """

    answer: bytes
    at_head: bytes = b""
    at_body: bytes = b""
    pause_s: float = 0.0
    behind: bytes = b""
    later: bytes = b""


class RawEngine:
    """Serves chat requests by scripts, in the order in which they come.

    Attributes:
        runs: Number of requests that it began to run.
    """

    def __init__(self, *scripts):
        self.runs = 0
        self._scripts = list(scripts)
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.url = f"http://{host}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def edit(self, config, url):
        """Makes this engine the only one in the configuration."""
        target = config.targets["engine-1"]._replace(url=self.url)
        return config._replace(targets={**config.targets, "engine-1": target})

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = body_length(head)
                if head.startswith(NO_RUNS):
                    await reader.readexactly(length)
                    writer.write(NOT_FOUND)
                else:
                    await self._run(reader, writer, length)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    async def _run(self, reader, writer, length):
        self.runs += 1
        script = self._scripts.pop(0)
        writer.write(script.at_head)
        await reader.readexactly(length)
        writer.write(script.at_body)
        await asyncio.sleep(script.pause_s)
        writer.write(script.answer + script.behind)
        if script.later:
            await asyncio.sleep(0.05)
            writer.write(script.later)
