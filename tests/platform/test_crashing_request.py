"""Requests that crash the targets which run them, seen from callers and targets."""

from tests.platform.deployment import Deployment
from tests.platform.target_standin import TargetStandin

POISON = b"poison"


def crash_on_poison(deployment):
    """Makes each target end under one body and register again when it is back."""
    for target in deployment.targets:
        target.poison = POISON
        key = f"servers/{target.name}"
        target.on_start = lambda target=target, key=key: deployment.kv.write(
            key, target.entry()
        )


async def test_the_logs_tie_the_tries_of_one_request_together(tmp_path, logged):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(2)]
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        crash_on_poison(deployment)
        for relay in (0, 1):
            await deployment.call("/pay/x", "POST", POISON, relay)
        await deployment.call("/pay/x", "POST", b"other")
    lines = [line for line in logged if line["event"] in ("placed", "target failed")]
    tries = {line["request"]: line["fingerprint"] for line in lines}
    failed = {
        line["request"] for line in lines if line.get("verdict") == "may have run"
    }
    assert len(tries) == 3
    assert len({tries[request] for request in failed}) == 1
    assert len(set(tries.values())) == 2
