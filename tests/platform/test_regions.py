"""Requests that must stay in a region, with real hosts."""

import pytest
from loguru import logger

from tests.platform.deployment import UNLIMITED, Deployment, config, route
from tests.platform.target_standin import TargetStandin

pytestmark = pytest.mark.usefixtures("unlogged")


class TwoRegions(Deployment):
    """The host and the first target are in region a, other targets in another one."""

    def __init__(self, *args, far_region="b"):
        super().__init__(*args)
        self.far_region = far_region

    def settings(self, name, **listen):
        cfg = super().settings(name, **listen)
        regions = {"dc-1": "a", "dc-2": self.far_region}
        known = {name: region for name, region in regions.items() if region}
        return cfg._replace(regions=known, data_centres=("dc-1", "dc-2"))

    async def __aenter__(self):
        await super().__aenter__()
        routes = [
            route("safe", "/safe/", "safe", "app", allowed_regions=["a"]),
            route("far", "/far/", "safe", "app", allowed_regions=["c"]),
            route(
                "chat",
                "/stream/",
                "streaming",
                "lm",
                retain=True,
                retention_s=60.0,
                allowed_regions=["a"],
            ),
        ]
        self.kv.write("op/config", config(9, routes=routes))
        for target in self.targets[1:]:
            self.kv.write(f"servers/{target.name}", target.entry(zone="dc-2"))
        relay = self.relays[0]
        await self.until(
            lambda: (
                relay.plans.version == 9
                and all(
                    relay.table.targets[target.name].data_centre == "dc-2"
                    for target in self.targets[1:]
                )
            )
        )
        return self


async def test_targets_of_other_regions_get_nothing(tmp_path):
    targets = [TargetStandin(f"i-{n}", "app") for n in range(2)]
    async with TwoRegions(tmp_path, *targets) as deployment:
        for _ in range(20):
            answer = await deployment.call("/safe/x", Authorization=UNLIMITED)
            assert answer[0] == 200
        assert not targets[1].runs
        status, headers, _ = await deployment.call("/far/x", Authorization=UNLIMITED)
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert len(targets[0].runs) == 20


async def test_the_log_of_a_refusal_names_the_regions(tmp_path):
    """Guards against refusals whose cause operators cannot find."""
    lines = []
    async with TwoRegions(tmp_path, TargetStandin("i-0", "app")) as deployment:
        logger.enable("magnoliaroad")
        sink = logger.add(lambda text: lines.append(text.record))
        await deployment.call("/far/x", Authorization=UNLIMITED)
        logger.remove(sink)
        logger.disable("magnoliaroad")
    refused = [one["extra"] for one in lines if one["message"] == "refused"]
    assert [(one["code"], one["regions"]) for one in refused] == [
        ("no_target_in_region", ["c"])
    ]


async def test_a_turn_stays_in_its_region_on_another_route(tmp_path):
    """Guards against bodies that leave with a later turn of their program."""
    targets = [TargetStandin(f"i-{n}") for n in range(2)]
    async with TwoRegions(tmp_path, *targets) as deployment:
        status, first, _ = await deployment.turn()
        assert status == 200
        routes = [route("free", "/stream/", "streaming", "lm", retain=True)]
        deployment.kv.write("op/config", config(10, routes=routes))
        relay = deployment.relays[0]
        await deployment.until(lambda: relay.plans.version == 10)
        status, second, _ = await deployment.turn(Magnoliaroad_Previous_Turn=first)
        assert status == 200
        deployment.kv.delete("servers/i-0")
        await deployment.until(lambda: "i-0" not in relay.table.targets)
        status, _, _ = await deployment.turn(Magnoliaroad_Previous_Turn=second)
        assert status == 503
        assert not targets[1].runs
        status, _, _ = await deployment.turn()
        assert status == 200


def journal_bytes(folder):
    return b"".join(path.read_bytes() for path in folder.rglob("*") if path.is_file())


@pytest.mark.parametrize("far_region", ["a", "b", None])
async def test_record_hosts_get_no_turn_that_must_stay_in_a_region(
    tmp_path, far_region
):
    """Guards against copies of turns on hosts that may lie outside."""
    async with TwoRegions(
        tmp_path, TargetStandin("i-0"), far_region=far_region
    ) as deployment:
        await deployment.start_records()
        status, first, _ = await deployment.turn()
        assert status == 200
        status, _, _ = await deployment.turn(Magnoliaroad_Previous_Turn=first)
        assert status == 200
        assert (b"turns/" in journal_bytes(tmp_path)) is (far_region == "a")
