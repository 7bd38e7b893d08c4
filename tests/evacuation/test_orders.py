"""Which orders to evacuate hold, whatever the order in which hosts hear of them."""

from hypothesis import given
from hypothesis import strategies as st

from magnoliaroad.evacuation.orders import EvacuationOrders
from magnoliaroad.relay.target import RelayTarget, TargetState
from magnoliaroad.relay.target_table import TargetTable

NAMES = ["dc-1", "dc-2", "dc-3"]


def target(name, data_centre):
    return RelayTarget(name, "lm", "10.0.0.1:80", data_centre, 8, TargetState.READY)


def test_an_evacuated_data_centre_is_no_fallback():
    """Guards against new work for the only targets that are left."""
    table = TargetTable()
    table.set(target("a", "dc-1"))
    table.set(target("b", "dc-2"))
    table.record_failure("b", 0.0, 0.5, 4.0)
    table.evacuations.apply_snapshot(0.0, ["dc-1"], 5)
    assert [t.name for t in table.usable("lm", 0.1)] == ["b"]
    table.evacuations.apply_batch(1.0, ["dc-2"], [], 6)
    assert table.usable("lm", 1.0) == []
    table.evacuations.apply_batch(2.0, [], ["dc-1"], 7)
    assert [t.name for t in table.usable("lm", 2.0)] == ["a"]


def test_an_older_state_of_the_store_withdraws_no_order():
    """Guards against a host that reads a list which a peer's news has overtaken."""
    orders = EvacuationOrders()
    assert orders.merge(0.0, ["dc-1"], 9).ordered == {"dc-1"}
    assert not orders.apply_snapshot(1.0, [], 8)
    assert not orders.apply_batch(1.0, [], ["dc-1"], 8)
    assert not orders.merge(1.0, [], 9)
    assert "dc-1" in orders
    assert orders.apply_batch(2.0, [], ["dc-1"], 10).withdrawn == {"dc-1"}


def test_a_repeated_order_keeps_its_age():
    orders = EvacuationOrders()
    orders.apply_snapshot(1.0, ["dc-1"], 1)
    orders.apply_snapshot(4.0, ["dc-1", "dc-2"], 2)
    assert orders.age_s("dc-1", 5.0) == 4.0
    assert orders.age_s("dc-2", 5.0) == 1.0


@given(
    st.lists(st.tuples(st.booleans(), st.sampled_from(NAMES)), min_size=1, max_size=12),
    st.randoms(use_true_random=False),
)
def test_hosts_agree_once_they_have_heard_the_newest_state(changes, random):
    """Guards against hosts that keep different orders after lost or late notices."""
    watcher, states = EvacuationOrders(), []
    for revision, (ordered, name) in enumerate(changes, 1):
        new, gone = ([name], []) if ordered else ([], [name])
        watcher.apply_batch(0.0, new, gone, revision)
        states.append((watcher.data_centres, revision))
    other, told = EvacuationOrders(), [*states, *states]
    random.shuffle(told)
    for names, revision in told[: random.randint(0, len(told))]:
        other.merge(0.0, names, revision)
    other.merge(0.0, *states[-1])
    assert other.data_centres == watcher.data_centres
