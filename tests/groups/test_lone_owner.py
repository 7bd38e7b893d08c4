"""An owner without copies acts only while no other host could hold them."""

import asyncio
import contextlib

import pytest

from magnoliaroad.groups import NotOwner
from tests.groups.cluster import CFG, Cluster, bodies

DOMAINS = ("kolkata-1", "*")
GROUPS = ("kolkata-1/0", "*/0")


@pytest.fixture
def cluster():
    cluster = Cluster()
    cluster.join("a")
    cluster.settle()
    yield cluster
    cluster.loop.close()


@pytest.mark.parametrize("group", GROUPS)
def test_record_accepted_after_hosts_joined_survives_the_first_host(cluster, group):
    first = cluster.hosts["a"]
    cluster.join("b")
    cluster.join("c")
    accepted = set()
    # Before any host has planned copies, and in each round until they exist.
    for sequence in range(1, 9):
        with contextlib.suppress(NotOwner):
            cluster.append(first, group, sequence=sequence)
            accepted.add(("k", sequence))
            break
        cluster.settle(1)
    assert accepted, "no record was accepted"
    cluster.crash("a")
    cluster.settle(20)
    owner = cluster.owner(group)
    assert owner is not None, "the group has no owner"
    assert bodies(owner, group).keys() == accepted


@pytest.mark.parametrize("group", GROUPS)
def test_lone_owner_refuses_records_once_another_host_has_joined(cluster, group):
    cluster.append(cluster.hosts["a"], group)
    cluster.join("b")
    assert cluster.owner(group) is None
    with pytest.raises(NotOwner):
        cluster.append(cluster.hosts["a"], group, sequence=2)
    cluster.settle()
    cluster.append(cluster.owner(group), group, sequence=2)
    assert bodies(cluster.hosts["b"], group).keys() == {("k", 1), ("k", 2)}


def test_lone_owner_acts_again_after_the_other_host_is_lost(cluster):
    restored = []
    first = cluster.hosts["a"]
    first.on_owned("test", lambda group, entries: restored.append(group))
    restored.clear()
    for name, unlist in (("b", True), ("c", False)):
        cluster.join(name)
        cluster.crash(name, unlist)
        cluster.settle(20)
        cluster.append(first, "*/0", key=name)
    assert "*/0" in restored


def test_lone_owner_continues_while_the_store_is_down(cluster):
    first = cluster.hosts["a"]
    cluster.store_down(True)
    cluster.settle()
    cluster.join("b")
    cluster.append(first, "*/0")
    cluster.settle()
    cluster.append(first, "*/0", sequence=2)
    cluster.store_down(False)
    cluster.settle()
    cluster.crash("a")
    cluster.settle(20)
    assert bodies(cluster.hosts["b"], "*/0").keys() == {("k", 1), ("k", 2)}


def test_lone_owner_acts_beside_other_hosts_where_no_copies_are_set():
    cluster = Cluster(cfg=CFG._replace(copies=0))
    cluster.join("a")
    cluster.settle()
    cluster.join("b")
    cluster.append(cluster.owner("*/0"), "*/0")
    cluster.loop.close()


async def time_until_joined(cluster, name, limit_s=10.0):
    """Returns how long host ``name`` waits for copies while all hosts run rounds."""
    started = cluster.loop.time()
    rounds = asyncio.create_task(cluster._steps(100))
    await cluster.hosts[name].wait_for_copies(limit_s)
    rounds.cancel()
    return cluster.loop.time() - started


def record_holder_counts(cluster):
    tables = cluster.hosts["a"].tables.all()
    return {len(view.record_holders) for table in tables for view in table.views}


def test_host_has_joined_once_all_groups_have_copies(cluster):
    cluster.join("b")
    assert record_holder_counts(cluster) == {1}
    assert cluster.run(time_until_joined(cluster, "b")) < 2.0
    assert record_holder_counts(cluster) == {2}
    cluster.crash("a")
    cluster.settle(20)
    assert all(cluster.hosts["b"].fence(f"{d}/{n}") for d in DOMAINS for n in range(4))


def test_hosts_that_start_together_wait_for_the_first_plan():
    cluster = Cluster()
    cluster.join("a")
    cluster.join("b")
    assert cluster.run(time_until_joined(cluster, "b")) > 0.0
    # Groups that were never active have no records and no holders of records.
    assert record_holder_counts(cluster) <= {0, 2}
    cluster.crash("a")
    cluster.settle(20)
    assert all(cluster.hosts["b"].fence(f"{d}/{n}") for d in DOMAINS for n in range(4))
    cluster.loop.close()


def test_single_host_does_not_wait_for_copies(cluster):
    assert cluster.run(time_until_joined(cluster, "a")) == 0.0


def test_host_does_not_wait_for_copies_while_the_store_is_down(cluster):
    cluster.join("b")
    cluster.store_down(True)
    cluster.settle(1)
    assert cluster.run(time_until_joined(cluster, "b")) == 0.0


def test_host_waits_for_copies_within_the_limit(cluster):
    cluster.join("b")
    cluster.network.wire.cut(["a"], ["b"])
    waited_s = cluster.run(time_until_joined(cluster, "b", limit_s=1.0))
    assert 1.0 <= waited_s <= 1.1
