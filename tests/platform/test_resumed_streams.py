"""Streams that callers take up again, while targets of two versions serve."""

import asyncio

import pytest

from tests.platform.deployment import Deployment, config
from tests.platform.target_standin import TargetStandin

STREAMS = 12


def config_with_changed_route(**changes):
    """Returns the next configuration, in which the resumable route is changed."""
    routes = config()["routes"]
    (plan,) = (route for route in routes if route["name"] == "plan")
    plan.update(changes)
    return config(4, routes=routes)


class Versions:
    """A deployment with targets of two versions, and streams through its hosts.

    Attributes:
        versions: Version of each target, by name.
    """

    def __init__(self, deployment, versions):
        self.deployment = deployment
        self.versions = versions

    async def prepare(self):
        for target in self.deployment.targets:
            self.write_entry(target)
        await self.until_versions_are_known()

    def write_entry(self, target, **changes):
        entry = target.entry(version=self.versions[target.name], **changes)
        self.deployment.kv.write(f"servers/{target.name}", entry)

    async def until_versions_are_known(self):
        def known():
            return all(
                {t.name: t.version for t in relay.table.targets.values()}
                == self.versions
                for relay in self.deployment.relays
            )

        await self.deployment.until(known)

    def find_run(self, stream):
        """Returns the version of the target that ran an attempt; ``None`` if none."""
        ran = [
            self.versions[target.name]
            for target in self.deployment.targets
            for _, _, headers, _ in target.runs
            if headers["magnoliaroad-request-id"] == stream
        ]
        assert len(ran) <= 1
        return ran[0] if ran else None

    async def begin(self, stream, relay=0):
        """Begins a stream that is cut off; returns the version that ran it."""
        for target in self.deployment.targets:
            target.script = ["cut"]
        status, _, body = await self.deployment.call(
            f"/plan/{stream}",
            "POST",
            b"input",
            relay=relay,
            Magnoliaroad_Request_Id=stream,
            Magnoliaroad_Program_Id=f"program-{stream}",
        )
        assert (status, body) == (200, None)
        for target in self.deployment.targets:
            target.script = ["ok"]
        return self.find_run(stream)

    async def resume(self, stream, relay=0, **changes):
        """Takes a stream up again; returns the status and the version that ran it."""
        again = f"{stream}-again"
        headers = {
            "Magnoliaroad_Request_Id": again,
            "Magnoliaroad_Program_Id": f"program-{stream}",
            "Last_Event_Id": "2",
            "Resumes": stream,
            **changes,
        }
        status, _, _ = await self.deployment.call(
            f"/plan/{stream}", "POST", b"input", relay=relay, **headers
        )
        return status, self.find_run(again)


@pytest.fixture
def targets():
    return [TargetStandin("i-old", "lm"), TargetStandin("i-new", "lm")]


VERSIONS = {"i-old": "v1", "i-new": "v2"}


@pytest.mark.parametrize("relay", [0, 1], ids=["same host", "another host"])
async def test_a_stream_is_resumed_only_by_the_version_that_began_it(
    tmp_path, targets, relay
):
    """Guards against answers joined from two versions (ORDER)."""
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        versions = Versions(deployment, VERSIONS)
        await deployment.start_records()
        await versions.prepare()
        begun, resumed = [], []
        for number in range(STREAMS):
            begun.append(await versions.begin(f"s{number}"))
            status, version = await versions.resume(f"s{number}", relay)
            assert status == 200
            resumed.append(version)
    assert set(begun) == {"v1", "v2"}
    assert resumed == begun


async def test_a_stream_whose_version_has_left_is_not_resumed(tmp_path, targets):
    """Guards against a join with the version that has replaced another (ORDER)."""
    async with Deployment(tmp_path, targets[0]) as deployment:
        versions = Versions(deployment, {"i-old": "v1"})
        await versions.prepare()
        await versions.begin("s")
        await targets[1].start()
        versions.versions = VERSIONS
        deployment.targets = targets
        versions.write_entry(targets[1])
        await versions.until_versions_are_known()
        versions.write_entry(targets[0], state="draining")
        table = deployment.relays[0].table
        await deployment.until(lambda: table.targets["i-old"].state != "ready")
        assert await versions.resume("s") == (503, None)
        status, _, _ = await deployment.call("/plan/new", "POST", b"input")
        assert status == 200


async def test_streams_go_on_at_their_version_after_all_hosts_were_restarted(
    tmp_path, targets
):
    """Guards against a join after the loss of all relay hosts (ORDER)."""
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        versions = Versions(deployment, VERSIONS)
        await deployment.start_records()
        await versions.prepare()
        begun = [await versions.begin(f"s{number}") for number in range(STREAMS)]
        await deployment.restart_relays()
        await versions.until_versions_are_known()
        resumed = [
            await versions.resume(f"s{number}", number % 2) for number in range(STREAMS)
        ]
    assert set(begun) == {"v1", "v2"}
    assert resumed == [(200, version) for version in begun]


async def test_a_stream_that_no_host_remembers_is_not_resumed(tmp_path, targets):
    """Guards against a guess after the loss of all hosts (ORDER).

    Only one version is left, but the other may have begun the stream.
    """
    async with Deployment(tmp_path, targets[0]) as deployment:
        versions = Versions(deployment, {"i-old": "v1"})
        await versions.prepare()
        await versions.begin("s")
        await deployment.restart_relays()
        await versions.until_versions_are_known()
        assert await versions.resume("s") == (503, None)


@pytest.mark.parametrize("resumes", [None, "another"])
async def test_a_stream_that_is_not_named_is_not_resumed(tmp_path, targets, resumes):
    async with Deployment(tmp_path, targets[0]) as deployment:
        versions = Versions(deployment, {"i-old": "v1"})
        await versions.prepare()
        await versions.begin("s")
        assert await versions.resume("s", Resumes=resumes) == (503, None)


@pytest.mark.parametrize("change", [{"resumable": False}, {"retain": True}])
async def test_a_stream_of_a_route_without_resumption_is_not_resumed(
    tmp_path, targets, change
):
    """Guards against kept turns without their first part, and joins by old routes."""
    async with Deployment(tmp_path, targets[0]) as deployment:
        versions = Versions(deployment, {"i-old": "v1"})
        await versions.prepare()
        await versions.begin("s")
        plan = config_with_changed_route(retention_s=60.0, **change)
        deployment.kv.write("op/config", plan)
        await deployment.until(lambda: deployment.relays[0].plans.version == 4)
        assert await versions.resume("s") == (503, None)


async def test_a_target_that_has_restarted_does_not_continue_a_stream(
    tmp_path, targets
):
    """Guards against a target that restarts with another version (ORDER)."""
    async with Deployment(tmp_path, targets[0]) as deployment:
        versions = Versions(deployment, {"i-old": "v1"})
        await versions.prepare()
        await versions.begin("s")
        targets[0].script = ["slow"]
        resuming = asyncio.create_task(versions.resume("s"))
        await deployment.until(lambda: targets[0].in_flight)
        versions.versions = {"i-old": "v2"}
        versions.write_entry(targets[0], born=2000)
        await versions.until_versions_are_known()
        status, _ = await resuming
        assert status == 502


async def test_a_stream_is_not_resumed_at_another_service(tmp_path, targets):
    """Guards against a join after the operator has moved a route (ORDER)."""
    moved = TargetStandin("i-moved", "lm-2")
    async with Deployment(tmp_path, targets[0], moved) as deployment:
        versions = Versions(deployment, {"i-old": "v1", "i-moved": "v1"})
        await versions.prepare()
        await versions.begin("s")
        plan = config_with_changed_route(service="lm-2")
        plan["services"].append({**plan["services"][-1], "name": "lm-2"})
        deployment.kv.write("op/config", plan)
        await deployment.until(lambda: deployment.relays[0].plans.version == 4)
        assert await versions.resume("s") == (503, None)


async def test_a_host_out_of_step_resumes_no_stream(tmp_path, targets, monkeypatch):
    """Guards against a join at a host that has missed a change of versions (ORDER).

    The host takes a target for its earlier start, which had the stream's version.
    """
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        versions = Versions(deployment, {"i-old": "v1", "i-new": "v1"})
        await deployment.start_records()
        await versions.prepare()
        await versions.begin("s")
        first, late = deployment.relays
        for name in ("on_batch", "on_snapshot", "merge_entries"):
            monkeypatch.setattr(late.follower, name, lambda *args: None)
        versions.versions = {"i-old": "v1", "i-new": "v2"}
        versions.write_entry(targets[1], born=2000)
        await deployment.until(lambda: first.table.targets["i-new"].version == "v2")
        await asyncio.sleep(0.3)
        targets[0].script = ["full"]
        assert await versions.resume("s", relay=1) == (503, None)
        monkeypatch.undo()
        late.follower.merge_entries(*first.follower.export_entries())
        targets[0].script = ["ok"]
        assert await versions.resume("s", relay=1) == (200, "v1")


async def test_a_host_that_hears_neither_hosts_nor_store_resumes_no_stream(
    tmp_path, targets, monkeypatch
):
    """Guards against a join at a host that has just stood still (ORDER)."""
    async with Deployment(tmp_path, *targets, hosts=2) as deployment:
        versions = Versions(deployment, {"i-old": "v1", "i-new": "v1"})
        await deployment.start_records()
        await versions.prepare()
        await versions.begin("s", relay=1)
        late = deployment.relays[1]
        monkeypatch.setattr(late.fleet, "_receive_heartbeat", lambda *args: None)
        monkeypatch.setattr(late.follower, "on_snapshot", lambda *args: None)
        await asyncio.sleep(1.0)
        assert await versions.resume("s", relay=1) == (503, None)
        monkeypatch.undo()
        await deployment.until(late.fleet.targets_current)
        assert await versions.resume("s", relay=1) == (200, "v1")
