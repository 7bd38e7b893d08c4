"""Second attempts at real targets, where the settings ask for them."""

import asyncio

import pytest

from magnoliaroad.hedging.settings import HedgingSettings
from tests.platform.deployment import UNLIMITED, Deployment
from tests.platform.target_standin import TargetStandin

pytestmark = pytest.mark.usefixtures("unlogged")


class Hedged(Deployment):
    def __init__(self, *args, extra_share=1.0):
        super().__init__(*args)
        self.hedging = HedgingSettings(extra_share, max_per_s=1000.0)

    def settings(self, name, **listen):
        return super().settings(name, **listen)._replace(hedging=self.hedging)


async def call(deployment, path="/safe/x", method="GET", body=b""):
    status, _, _ = await deployment.call(path, method, body, Authorization=UNLIMITED)
    return status


async def learn(deployment, count=40):
    for _ in range(count):
        assert await call(deployment) == 200


@pytest.mark.parametrize(("extra_share", "attempts"), [(1.0, 2), (0.0, 1)])
async def test_a_request_at_a_target_that_is_slow_is_sent_once_more(
    tmp_path, extra_share, attempts
):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(2)]
    async with Hedged(tmp_path, *targets, extra_share=extra_share) as deployment:
        await learn(deployment)
        for target in targets:
            target.runs.clear()
            target.script = ["slow"]
        assert await call(deployment) == 200
        assert sum(len(target.runs) for target in targets) == attempts
        await deployment.until(
            lambda: (
                not any(t.in_flight for t in targets)
                and not any(deployment.relays[0].table.in_flight.values())
            )
        )


async def test_a_request_that_may_run_once_is_sent_once(tmp_path):
    """Guards against a payment that runs twice."""
    targets = [TargetStandin(f"i-{n}", "app") for n in range(2)]
    async with Hedged(tmp_path, *targets) as deployment:
        await learn(deployment)
        for target in targets:
            target.runs.clear()
            target.script = ["slow"]
        answers = await asyncio.gather(
            *(call(deployment, "/pay/x", "POST", b"x") for _ in range(8))
        )
        assert answers == [200] * 8
        assert sum(len(target.runs) for target in targets) == 8
