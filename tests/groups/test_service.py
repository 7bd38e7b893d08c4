import pytest

from magnoliaroad.groups import NotCopied, NotOwner
from tests.groups.cluster import Cluster, bodies

HOME = "kolkata-1/0"


@pytest.fixture
def cluster(tmp_path):
    cluster = Cluster(folder=tmp_path)
    for name in ("a", "b", "c"):
        cluster.join(name)
    cluster.settle()
    yield cluster
    cluster.loop.close()


def test_each_group_has_one_owner_and_load_is_even(cluster):
    groups = [f"{domain}/{n}" for domain in ("kolkata-1", "*") for n in range(4)]
    owners = [
        [name for name, s in cluster.hosts.items() if s.fence(group)]
        for group in groups
    ]
    assert all(len(names) == 1 for names in owners)
    cluster.join("d")
    cluster.settle(20)
    loads = [
        sum(s.fence(f"kolkata-1/{n}") is not None for n in range(4))
        for s in cluster.hosts.values()
    ]
    assert sorted(loads) == [1, 1, 1, 1]


def test_records_survive_two_owners_in_turn(cluster):
    for sequence in (1, 2):
        owner = cluster.owner(HOME)
        cluster.append(owner, HOME, sequence=sequence)
        name = next(n for n, s in cluster.hosts.items() if s is owner)
        cluster.crash(name)
        cluster.settle()
        assert len(bodies(cluster.owner(HOME), HOME)) == sequence


def test_resumed_owner_is_refused(cluster):
    owner = cluster.owner(HOME)
    name = next(n for n, s in cluster.hosts.items() if s is owner)
    others = [other for other in cluster.hosts if other != name]
    cluster.network.wire.cut([name], others)
    cluster.store_down(True, [name])
    paused = cluster.hosts.pop(name)
    cluster.settle(20)
    cluster.network.wire.heal()
    assert paused.fence(HOME) is not None
    with pytest.raises(NotCopied):
        cluster.append(paused, HOME, key="late")
    assert ("late", 1) not in bodies(cluster.owner(HOME), HOME)
    cluster.hosts[name] = paused
    cluster.store_down(False)
    cluster.settle(4)
    with pytest.raises(NotOwner):
        cluster.append(paused, HOME, key="late")


def test_owners_continue_while_the_store_is_down(cluster):
    cluster.store_down(True)
    owner = cluster.owner(HOME)
    cluster.append(owner, HOME)
    name = next(n for n, s in cluster.hosts.items() if s is owner)
    cluster.crash(name)
    cluster.settle(20)
    assert cluster.owner(HOME) is None
    cluster.store_down(False)
    cluster.settle()
    assert bodies(cluster.owner(HOME), HOME) == {("k", 1): b"x"}


def test_partitioned_data_centre_continues():
    cluster = Cluster()
    for name, data_centre in zip("abcd", ("k", "k", "l", "l"), strict=True):
        cluster.join(name, data_centre)
    cluster.settle()
    cluster.network.wire.cut("ab", "cd")
    cluster.store_down(True, "ab")
    cluster.append(cluster.owner("k/1"), "k/1")
    cluster.append(cluster.owner("l/1"), "l/1")
    cluster.settle(20)
    assert bodies(cluster.owner("k/1"), "k/1") == {("k", 1): b"x"}


def test_group_recovers_after_all_hosts_restart(cluster):
    for name in ("a", "b", "c"):
        cluster.crash(name)
        cluster.join(name)
    cluster.settle()
    cluster.append(cluster.owner(HOME), HOME)
    assert len(bodies(cluster.owner(HOME), HOME)) == 1


def test_sole_host_of_a_data_centre_is_replaced_although_listed():
    cluster = Cluster()
    for name, data_centre in zip("abcd", "kklm", strict=True):
        cluster.join(name, data_centre)
    cluster.settle()
    lost = [f"*/{n}" for n in range(4) if cluster.hosts["d"].fence(f"*/{n}")]
    assert lost
    cluster.crash("d", unlist=False)
    cluster.settle(20)
    assert all(cluster.owner(group) for group in lost)
