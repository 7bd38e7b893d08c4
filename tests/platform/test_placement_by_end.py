"""Hosts place requests by what targets state, where these state a slowdown."""

from magnoliaroad.target_model.metrics import CHOICES
from tests.platform.deployment import UNLIMITED, Deployment
from tests.platform.target_standin import TargetStandin


def engine(name, load="1,0,8,100", pause_s=0.005):
    target = TargetStandin(name, "lm", events=10)
    target.load = load
    target.plan_pause_s = pause_s
    return target


async def play_programs(deployment, count=24):
    for number in range(count):
        status, _, body = await deployment.call(
            f"/plan/{number}",
            "POST",
            b"input",
            Magnoliaroad_Program_Id=f"p-{number}",
            Magnoliaroad_Token_Count="100,100",
        )
        # A stream that ends early has its status, and no body.
        assert (status, body is not None) == (200, True)


async def test_turns_go_to_the_faster_target_once_it_is_known(tmp_path, logged):
    """Guards against a slow machine that gets as many turns as a fast one."""
    slow, fast = engine("slow", pause_s=0.04), engine("fast")
    async with Deployment(tmp_path, slow, fast) as deployment:
        await play_programs(deployment)
        assert len(fast.runs) > 2 * len(slow.runs)
    last = [line for line in logged if line["event"] == "placed"][-1]
    assert last["expected_s"] > 0
    assert set(last["expected_by"]) >= {"turn_s", "prompt_s", "load", "slots"}


async def test_without_a_stated_slowdown_turns_are_placed_by_load(tmp_path, logged):
    """Guards against effects on deployments whose targets state three figures."""
    pair = [engine(name, load="1,0,8") for name in ("a", "b")]
    async with Deployment(tmp_path, *pair) as deployment:
        await play_programs(deployment, 6)
        model = deployment.relays[0].target_model
        assert not len(model.paces)
        assert not model.loads.states_slowdown("lm", 0.0)
    placed = [line for line in logged if line["event"] == "placed"]
    assert {line["expected_s"] for line in placed} == {0.0}
    assert {line["expected_by"] for line in placed} == {None}


async def test_plain_requests_use_what_targets_state(tmp_path):
    """Guards against requests that go on to a target which has said that it is full."""
    full, free = TargetStandin("full", "app"), TargetStandin("free", "app")
    full.load, free.load = "100,50,100,100", "1,0,100,100"
    before = sum(value for _, value in CHOICES.get_all())
    async with Deployment(tmp_path, full, free) as deployment:
        for _ in range(40):
            status, _, _ = await deployment.call("/safe/x", Authorization=UNLIMITED)
            assert status == 200
    assert len(free.runs) > len(full.runs)
    assert sum(value for _, value in CHOICES.get_all()) >= before + 38
