import asyncio

import pytest
from loguru import logger
from returns.result import Failure, Success

from magnoliaroad.config import Config, Route, RouteKind, Target, Team
from magnoliaroad.routing import Job, PlacementService, RoutingSettings, Usage
from magnoliaroad.routing.messages import HostLoad
from tests.fakes.peers import PeerNetwork

CFG = RoutingSettings(policy_options={"order": {"engine_batch": 1}})


class FakeConfig:
    """Configuration service whose content the test sets."""

    def __init__(self):
        self.current = Config()
        self._listeners = []

    def on_change(self, listener):
        self._listeners.append(listener)

    def set(self, **targets):
        self.current = Config(
            revision=self.current.revision + 1,
            teams={"team": Team("team", 1.0, 1.0)},
            routes={"model": Route("model", RouteKind.ENGINE)},
            targets={n: Target(n, "model", "", "dc", **t) for n, t in targets.items()},
        )
        for listener in self._listeners:
            listener(self.current)


@pytest.fixture
def config():
    return FakeConfig()


@pytest.fixture
def leaving():
    return set()


@pytest.fixture
def service(config, leaving):
    peers = PeerNetwork().join("host-1")
    service = PlacementService(CFG, "dc", config, peers, lambda: frozenset(leaving))
    config.set(e1={}, e2={})
    return service


def job(name):
    return Job(name, name, "team", "model", 100, 10)


async def fill_targets(service):
    return [(await service.acquire(job(f"held{n}"))).unwrap() for n in range(2)]


async def test_a_request_waits_until_another_ends(service):
    placements = await fill_targets(service)
    waiting = asyncio.ensure_future(service.acquire(job("next")))
    await asyncio.sleep(0)
    assert not waiting.done()
    service.release(placements[0], Usage(100, 0, 10))
    placement = (await waiting).unwrap()
    assert placement.target == placements[0].target


async def test_a_cancelled_caller_releases_its_slot(service):
    placements = await fill_targets(service)
    cancelled = asyncio.ensure_future(service.acquire(job("gone")))
    await asyncio.sleep(0)
    # Placed and cancelled before its task runs again.
    service.release(placements[0], Usage(100, 0, 10))
    cancelled.cancel()
    with pytest.raises(asyncio.CancelledError):
        await cancelled
    again = await asyncio.wait_for(service.acquire(job("again")), 1.0)
    assert isinstance(again, Success)


async def test_a_target_listed_as_leaving_gets_no_requests(service, leaving):
    leaving.add("e1")
    assert (await service.acquire(job("a"))).unwrap().target.name == "e2"
    leaving.add("e2")
    assert isinstance(await service.acquire(job("b")), Failure)


async def test_waiting_requests_are_placed_when_a_target_is_added(service, config):
    await fill_targets(service)
    waiting = asyncio.ensure_future(service.acquire(job("next")))
    await asyncio.sleep(0)
    config.set(e1={}, e2={}, e3={})
    assert (await waiting).unwrap().target.name == "e3"


async def test_each_decision_is_logged_with_its_scores(service):
    lines = []
    sink = logger.add(lambda line: lines.append(line.record), level="INFO")
    await service.acquire(job("a"))
    logger.remove(sink)
    (line,) = [line for line in lines if line["message"] == "placed"]
    assert line["extra"]["choice"] in line["extra"]["scores"]
    assert {"wait_s", "compute_s", "cached_tokens"} <= set(
        line["extra"]["scores"][line["extra"]["choice"]]
    )


async def test_in_flight_requests_of_peers_count(service):
    await service._on_host_load("host-2", HostLoad({"e1": 1}))
    assert (await service.acquire(job("a"))).unwrap().target.name == "e2"
