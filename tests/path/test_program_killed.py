"""Programs survive the loss of two of three hosts, killed one after the other.

The first host is killed between turns, the second during a turn. The turns and
the used budget must be found on the remaining host.
"""

import asyncio
import contextlib

import aiohttp

from magnoliaroad.config.publish import publish
from magnoliaroad.groups.table import TABLES_PREFIX, unpack_table
from magnoliaroad.standins.deployment import DEMO_KEY, demo_config
from magnoliaroad.standins.engine_server import EngineServer
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings
from tests.path.test_killed import HOSTS, HostProcesses, wait_until

HEADERS = {"Authorization": f"Bearer {DEMO_KEY}"}
SLOW_STEP_S = 5.0
PROGRAMS = 6


class Caller:
    """A caller of one program that sends only new messages."""

    def __init__(self, hosts, session, program):
        self.hosts = hosts
        self.session = session
        self.program = program
        self.turn = 0

    async def ask(self, host):
        """Sends the next turn until it is answered."""
        while not await self.ask_once(host):
            await asyncio.sleep(0.1)
        self.turn += 1

    async def ask_once(self, host):
        headers = HEADERS | {
            "X-Program-Id": self.program,
            "X-Program-Turn": str(self.turn + 1),
        }
        message = {"role": "user", "content": f"question {self.turn + 1}"}
        body = {"model": "planner", "messages": [message], "max_tokens": 8}
        url = f"{self.hosts.urls[host]}/v1/chat/completions"
        async with self.session.post(url, json=body, headers=headers) as resp:
            text = await resp.text()
            if resp.status != 200:
                print(self.program, self.turn + 1, resp.status, text[:200])
            return resp.status == 200

    async def program_state(self, host):
        url = f"{self.hosts.urls[host]}/v1/programs/{self.program}"
        async with self.session.get(url, headers=HEADERS) as resp:
            return await resp.json()

    async def end(self, host):
        url = f"{self.hosts.urls[host]}/v1/programs/{self.program}"
        async with self.session.delete(url, headers=HEADERS) as resp:
            assert resp.status == 200


@contextlib.asynccontextmanager
async def three_hosts(folder, engine):
    kv = KvServer()
    async with (
        serve_app(kv.app()) as store_url,
        serve_app(engine.app()) as engine_url,
        aiohttp.ClientSession() as session,
    ):
        store = HttpStore(StoreSettings(store_url))
        config = demo_config(engine_url, engine_url)
        await publish(store, lambda base: config)
        await store.close()
        hosts = HostProcesses(folder, store_url, None, None)
        try:
            await asyncio.gather(*(hosts.start(host) for host in HOSTS))
            callers = [Caller(hosts, session, f"p{n}") for n in range(PROGRAMS)]
            yield hosts, callers, kv.state
        finally:
            hosts.print_logs()
            await hosts.stop()


def questions(engine, program):
    """Returns the user messages in the engine's last request of ``program``."""
    for req in reversed(engine.requests):
        if req["headers"]["X-Program-Id"] == program:
            messages = req["body"]["messages"]
            return [m["content"] for m in messages if m["role"] == "user"]
    return []


def is_removed_from_groups(state, host):
    """Whether all groups are active and none has ``host`` among its holders."""
    entries = state.list(TABLES_PREFIX).changed
    tables = [unpack_table("", entry.revision, entry.value) for entry in entries]
    views = [view for table in tables for view in table.views]
    return all(
        view.active and host not in [member.host for member in view.holders]
        for view in views
    )


async def ask_all(callers, host, engine):
    await asyncio.gather(*(caller.ask(host) for caller in callers))
    for caller in callers:
        expected = [f"question {n}" for n in range(1, caller.turn + 1)]
        assert questions(engine, caller.program) == expected


async def test_programs_outlive_two_of_three_hosts(tmp_path):
    engine = EngineServer(answer_tokens=4)
    async with three_hosts(tmp_path, engine) as (hosts, callers, state):
        await ask_all(callers, "host-1", engine)
        await hosts.kill("host-1")
        await ask_all(callers, "host-2", engine)
        # Records are held by two of three hosts, so the second host may be killed
        # only after the first has been replaced in every group.
        await wait_until(lambda: is_removed_from_groups(state, "host-1"))

        quick = engine.model.cfg
        engine.model.cfg = quick._replace(step_s=SLOW_STEP_S)
        caller, seen = callers[0], len(engine.requests)
        before = await caller.program_state("host-3")
        sent = asyncio.create_task(caller.ask_once("host-2"))
        await wait_until(lambda: len(engine.requests) > seen)
        await hosts.kill("host-2")
        await asyncio.wait([sent])
        engine.model.cfg = quick
        await ask_all(callers, "host-3", engine)
        after = await caller.program_state("host-3")
        assert after["turns"] == before["turns"] + 1
        assert after["used"] > before["used"] + 8

        await caller.end("host-3")
        await wait_until(
            lambda: caller.program not in engine.model.cache_bytes_by_program()
        )
