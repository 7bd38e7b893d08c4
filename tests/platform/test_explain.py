"""The command ``explain`` against a real relay host."""

import asyncio
import json

import pytest
from cleo.testers.command_tester import CommandTester

from magnoliaroad.cli.explain import ExplainCommand
from tests.platform.deployment import KEY, UNLIMITED, Deployment
from tests.platform.target_standin import TargetStandin

pytestmark = pytest.mark.usefixtures("unlogged")


async def run(arguments):
    tester = CommandTester(ExplainCommand())
    # The command has an event loop of its own.
    status = await asyncio.to_thread(tester.execute, arguments)
    return status, tester.io.fetch_output(), tester.io.fetch_error()


async def test_explain_asks_a_running_host_and_sends_nothing(tmp_path):
    """Guards against an endpoint that is not wired to the parts that place requests."""
    targets = [TargetStandin("i-1", "app"), TargetStandin("i-2", "lm")]
    async with Deployment(tmp_path, *targets) as deployment:
        relay = deployment.relays[0]
        address = relay.cfg.listen.metrics
        status, text, _ = await run(f"{address} arcade.example /safe/x --team league")
        assert status == 0
        assert text.startswith("sent to i-1\n")
        await deployment.turn(program="p-7", Authorization=UNLIMITED)
        turn = f"{address} arcade.example /stream/t --team other --program p-7 --json"
        found = json.loads((await run(turn))[1])
        assert found["target"] == found["program"]["placed"] == "i-2"
        status, _, error = await run(f"{address} arcade.example /safe/x --team {KEY}")
        assert status == 2
        assert error.startswith("team: ")
        assert KEY not in error
        assert [len(target.runs) for target in targets] == [0, 1]
        assert relay.quota.counts() == {}
        async with deployment.session.get(f"http://{address}/metrics") as resp:
            assert "relay_requests_total" in await resp.text()
