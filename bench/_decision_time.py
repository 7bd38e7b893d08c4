"""Measures the processor time of a placement decision."""

import time

from magnoliaroad.config import Config, Route, RouteKind, Target, Team
from magnoliaroad.routing import Dispatcher, Job, Placement, RoutingSettings, Usage

MODELS = 8
DATA_CENTRES = 9
DECISIONS = 2000
PREFIX_BLOCKS = 64


def decision_time_us(runners: int) -> float:
    """Returns the time to place and release one request, in microseconds."""
    dispatcher, route = loaded_dispatcher(runners)
    usage = Usage(PREFIX_BLOCKS * 256, PREFIX_BLOCKS * 256 - 300, 150)
    placements: list[Placement] = []
    started = time.process_time()
    for number in range(DECISIONS):
        now = number * 0.01
        for decision in dispatcher.submit(_job(number, route), now):
            assert isinstance(decision.outcome, Placement)
            placements.append(decision.outcome)
        if len(placements) > 20:
            dispatcher.release(placements.pop(0), usage, now)
    used_s = time.process_time() - started
    return round(1e6 * used_s / DECISIONS, 1)


def loaded_dispatcher(runners: int) -> tuple[Dispatcher, str]:
    """Returns a dispatcher with ``runners`` targets and the name of a route."""
    models = min(MODELS, max(1, runners // 5))
    routes = [Route(f"model-{index}", RouteKind.ENGINE) for index in range(models)]
    targets = [
        Target(
            f"r-{n}", routes[n % models].name, "", f"dc-{n // models % DATA_CENTRES}"
        )
        for n in range(runners)
    ]
    config = Config(
        revision=1,
        teams={"team": Team("team", 1e6, 1e6)},
        routes={route.name: route for route in routes},
        targets={target.name: target for target in targets},
    )
    dispatcher = Dispatcher(RoutingSettings(), "dc-0")
    dispatcher.configure(config, (), 0.0)
    return dispatcher, routes[0].name


def _job(number: int, route: str) -> Job:
    program = f"program-{number % 200}"
    first = number % 200 * 1000
    prefix = tuple(range(first, first + PREFIX_BLOCKS))
    return Job(f"job-{number}", program, "team", route, 256 * len(prefix), 500, prefix)
