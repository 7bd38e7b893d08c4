"""Simulated hosts that run programs against a fake engine, in virtual time."""

import asyncio
import json
from types import SimpleNamespace

from magnoliaroad.config import Config, Route, RouteKind, Target, Team
from magnoliaroad.groups import GroupSettings
from magnoliaroad.programs import Call, Outcome, ProgramService
from magnoliaroad.programs.settings import ProgramSettings
from magnoliaroad.targets import TargetError
from magnoliaroad.verdict import Verdict
from tests.groups.cluster import Cluster

BUDGET = 4000
ANSWER_TOKENS = 20
CFG = ProgramSettings(order_wait_s=5.0, idle_limit_s=120.0, ended_keep_s=60.0)


class FakeResponse:
    def __init__(self, status, body):
        self.status = status
        self._body = json.dumps(body).encode()

    async def iter_chunks(self):
        yield self._body

    def close(self):
        pass


class FakeEngine:
    """Holds memory by program and rejects outdated fencing tokens."""

    def __init__(self):
        self.held = set()
        self.fence = 0
        self.requests_to_lose = 0

    async def open(self, req):
        if req.method == "GET":
            return FakeResponse(200, {"programs": dict.fromkeys(self.held, 1)})
        request = json.loads(req.body)
        if self.requests_to_lose:
            self.requests_to_lose -= 1
            raise TargetError("request lost", Verdict.MAY_HAVE_RUN)
        if request["fence"] < self.fence:
            return FakeResponse(409, {})
        self.fence = request["fence"]
        self.held -= set(request["programs"])
        return FakeResponse(200, {})


def configuration(data_centre):
    return Config(
        revision=1,
        teams={name: Team(name, 1.0, 1.0, 1.0, BUDGET) for name in ("t", "other")},
        routes={"m": Route("m", RouteKind.ENGINE, ("t",))},
        targets={"e": Target("e", "m", "http://127.0.0.1:1", data_centre)},
    )


class Fleet(Cluster):
    """A cluster whose hosts run programs against one engine."""

    def __init__(self, seed=0, faults=None, cfg=CFG, folder=None):
        groups = GroupSettings(group_count=2, copies=2)
        super().__init__(seed, faults, groups, folder)
        self.program_cfg = cfg
        self.programs = {}
        self.engine = FakeEngine()
        self.config = SimpleNamespace(current=configuration("k"))
        for name in "abc":
            self.join(name)
        self.settle()

    def join(self, name, data_centre="k"):
        groups = super().join(name, data_centre)
        self.programs[name] = ProgramService(
            self.program_cfg,
            name,
            data_centre,
            self.config,
            groups,
            self.network.hosts[name],
            self.engine,
            self.loop.time,
        )
        return groups

    def crash(self, name, unlist=True):
        self.programs.pop(name)
        return super().crash(name, unlist)

    async def _steps(self, count):
        await super()._steps(count)
        for name in list(self.hosts):
            await self.programs[name].sweep()

    def sweep_engines(self):
        for name in self.hosts:
            self.run(self.programs[name].engine_caches.sweep())

    def owner_host(self, program):
        """Returns the name of the host that may act for ``program``."""
        for name in self.hosts:
            if self.programs[name].owner.table_of(program) is not None:
                return name
        return None

    def begin(self, host, messages, program="p", **fields):
        call = Call(program, "t", messages, **{"route": "m", **fields})
        return self.run(self.programs[host].begin(call))

    def finish(self, host, turn, text, tokens=None):
        self.engine.held.add(turn.program)
        answer = {"role": "assistant", "content": text}
        prompt = sum(len(m["content"]) for m in turn.messages)
        used = prompt + ANSWER_TOKENS if tokens is None else tokens
        outcome = Outcome(Verdict.RAN, answer, used, prompt, "e")
        return self.run(self.programs[host].finish(turn, outcome))

    def ask(self, host, text, answer, program="p", **fields):
        """Runs a turn with one new message; returns it and whether it was recorded."""
        new = [{"role": "user", "content": text}]
        result = self.begin(host, new, program, **{"new_only": True, **fields})
        turn = result.unwrap()
        return turn, self.finish(host, turn, answer)

    def end(self, host, program="p"):
        return self.run(self.programs[host].end(program, "t"))

    def program_state(self, host, program="p"):
        return self.run(self.programs[host].program_state(program, "t")).unwrap()

    def contents(self, host, program="p"):
        return [m["content"] for m in self.program_state(host, program)["messages"]]

    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))
        self.settle(1)
