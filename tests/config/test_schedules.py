"""Random schedules of failures and changes on a network that loses messages.

They guard against hosts that go back to an older revision, and against revisions and
withdrawals that do not reach every host and the store after all failures have ended.
"""

import tempfile
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.keys import Withdrawals, digest_key, fingerprint
from magnoliaroad.keys.withdrawal_store import add_withdrawal, read_withdrawals
from tests.config.fleet import Fleet, with_rate
from tests.fakes import WireFaults

NAMES = ("a1", "a2", "b1", "b2", "c1")
HOSTS_WITH_FOLDER = frozenset({"a1", "b1"})
SETTLE_S = 12.0

STEPS = st.one_of(
    st.tuples(st.just("accept"), st.sampled_from((None, *NAMES))),
    st.tuples(st.just("withdraw"), st.sampled_from((None, *NAMES))),
    st.tuples(st.just("restart"), st.sampled_from(NAMES)),
    st.tuples(st.just("store"), st.sampled_from(("well", "down", "stale", "slow"))),
    st.tuples(st.just("cut"), st.sampled_from("abc")),
    st.tuples(st.just("heal"), st.none()),
    st.tuples(st.just("wait"), st.sampled_from((0.1, 1.0, 3.0))),
)
STORE_FAULTS = {
    "well": {},
    "down": {"down": True},
    "stale": {"stale": True},
    "slow": {"delay_s": 0.7},
}


class Schedule:
    """Runs steps on a fleet and records the revision and withdrawals to expect."""

    def __init__(self, seed, folder):
        faults = WireFaults(0.001, 0.2, drop=0.1, duplicate=0.1)
        self.fleet = Fleet([], seed, faults, folder)
        self.fleet.served_revisions = dict.fromkeys(NAMES, 0)
        self.store = "well"
        self.revision = 0
        self.withdrawn = []
        for name in NAMES:
            self.fleet.start(name, name in HOSTS_WITH_FOLDER)

    def accept(self, host):
        self.revision += 1
        accepted = self.fleet.write(with_rate(float(self.revision)))
        if host is not None:
            self.fleet.send_accepted(accepted, host)

    def withdraw(self, host):
        key = f"mr-{len(self.withdrawn)}"
        self.withdrawn.append(fingerprint(digest_key(key)))
        if host is not None:
            self.fleet.send_withdrawal(host, key)
        else:
            self.fleet.run(add_withdrawal(self.fleet.store, self.withdrawn[-1]))

    def restart(self, name):
        self.fleet.crash(name)
        if name not in HOSTS_WITH_FOLDER and self.store != "well":
            self.fleet.served_revisions[name] = 0
        self.fleet.start(name, name in HOSTS_WITH_FOLDER)

    def set_store(self, kind):
        self.store = kind
        self.fleet.set_store_faults(**STORE_FAULTS[kind])

    def cut(self, data_centre):
        inside = {name for name in NAMES if name[0] == data_centre}
        self.fleet.network.wire.cut(inside, set(NAMES) - inside)
        self.fleet.set_store_faults(data_centre, down=True)

    def heal(self):
        self.fleet.network.wire.heal()
        self.set_store(self.store)

    def run_step(self, step, value):
        match step:
            case "store":
                self.set_store(value)
            case "heal":
                self.heal()
            case "wait":
                self.fleet.sleep(value)
            case _:
                getattr(self, step)(value)

    def settle(self):
        self.set_store("well")
        self.heal()
        self.fleet.sleep(SETTLE_S)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.integers(0, 1000), st.lists(STEPS, max_size=14))
def test_hosts_agree_in_the_end_and_never_go_back(seed, steps):
    with tempfile.TemporaryDirectory() as folder:
        schedule = Schedule(seed, Path(folder))
        fleet = schedule.fleet
        try:
            for step, value in steps:
                schedule.run_step(step, value)
            schedule.settle()
            assert fleet.reverts == []
            assert set(fleet.revisions().values()) == {schedule.revision}
            for host in fleet.live.values():
                known = host.keys.withdrawals
                assert all(item in known for item in schedule.withdrawn)
            stored = fleet.run(read_withdrawals(fleet.store))
            assert all(item in stored for item in schedule.withdrawn)
        finally:
            fleet.close()


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.lists(st.binary(min_size=16, max_size=16))), st.randoms())
def test_withdrawals_merge_in_any_order_and_any_number_of_times(batches, rng):
    ordered, shuffled = Withdrawals(), Withdrawals()
    for batch in batches:
        ordered.merge(batch)
    again = batches * 2
    rng.shuffle(again)
    for batch in again:
        shuffled.merge(batch)
    assert ordered.shard_checksums() == shuffled.shard_checksums()
    assert ordered.checksum() == shuffled.checksum()
    assert len(ordered) == len({item for batch in batches for item in batch})
