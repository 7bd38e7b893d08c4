"""Stand-ins of the store, an engine and a plain service, in a process of their own.

A crowd and its readers keep the event loop of a test busy. Targets there would accept
connections late, and a front end takes one that does so for lost.
"""

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import NamedTuple

from magnoliaroad.standins.engine_server import EngineServer
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from tests.entry.services import FaultyService

ROOT = Path(__file__).parents[2]
STEP_S = 0.0005


class StandinUrls(NamedTuple):
    """Base URLs of the stand-ins."""

    store: str
    engine: str
    service: str


@contextlib.asynccontextmanager
async def standins_process(answer_tokens):
    """Runs the stand-ins; yields their URLs.

    Args:
        answer_tokens: Tokens of each answer of the engine.
    """
    proc = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", __name__, str(answer_tokens)),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(20.0):
            line = await proc.stdout.readline()
        yield StandinUrls(*json.loads(line))
    finally:
        proc.stdin.close()
        await proc.wait()


async def serve(answer_tokens):
    """Serves the stand-ins until standard input ends."""
    async with (
        serve_app(KvServer().app()) as store,
        serve_app(EngineServer(STEP_S, answer_tokens).app()) as engine,
        serve_app(FaultyService().app()) as service,
    ):
        print(json.dumps(StandinUrls(store, engine, service)), flush=True)
        await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
