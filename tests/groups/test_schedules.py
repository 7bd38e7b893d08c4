from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaroad.groups import NotCopied, NotOwner
from tests.fakes import WireFaults
from tests.groups.cluster import Cluster, bodies

GROUP = "k/0"
EVENTS = ("append", "crash", "restart", "pause", "wake", "down", "up", "cut", "heal")
# At most one host is paused and one is lost at a time, never all holders of a
# group: a record is guaranteed to survive the loss of one host only.
schedules = st.lists(
    st.tuples(st.sampled_from(EVENTS), st.integers(0, 3)), min_size=4, max_size=14
)


class Schedule:
    """Applies events and remembers each confirmed record."""

    def __init__(self, seed):
        self.cluster = Cluster(seed, WireFaults(drop=0.05, duplicate=0.1))
        self.names = ["a", "b", "c", "d"]
        for name in self.names:
            self.cluster.join(name, "k")
        self.cluster.settle()
        self.acked = {}
        self.number = 0
        self.down = False
        self.paused = {}
        self.lost = False

    def apply(self, event, index):
        getattr(self, f"_{event}")(self.names[index])
        self.cluster.settle(1)

    def _append(self, name):
        """Each host that believes it owns the group writes at the same position."""
        self.number += 1
        for host, service in [*self.cluster.hosts.items(), *self.paused.items()]:
            try:
                entry = self.cluster.append(
                    service, GROUP, "k", self.number, host.encode()
                )
            except (NotOwner, NotCopied):
                continue
            assert self.number not in self.acked, "two owners at the same time"
            self.acked[self.number] = entry.body

    def _crash(self, name):
        self._lose(name, restart=False)

    def _restart(self, name):
        self._lose(name, restart=True)

    def _lose(self, name, restart):
        """Crashes one host, unless the group has not recovered from the last loss."""
        if self.lost or name not in self.cluster.hosts:
            return
        self.lost = True
        self.cluster.crash(name)
        if restart:
            self.cluster.join(name, "k")
            self.cluster.store_down(self.down)

    def _pause(self, name):
        """Partitions a host that keeps its state and runs no maintenance."""
        if name in self.cluster.hosts and not self.paused:
            others = [other for other in self.names if other != name]
            self.cluster.network.wire.cut([name], others)
            self.paused[name] = self.cluster.hosts.pop(name)

    def _wake(self, name):
        self.cluster.network.wire.heal()
        self._append(name)
        self.cluster.hosts |= self.paused
        self.paused.clear()

    def _down(self, name):
        self.down = True
        self.cluster.store_down(True)

    def _up(self, name):
        self.down = False
        self.cluster.store_down(False)
        if not self.paused:
            self.cluster.settle(20)
            self.lost = False

    def _cut(self, name):
        self.cluster.network.wire.cut([name], [self.names[0]])

    def _heal(self, name):
        if not self.paused:
            self.cluster.network.wire.heal()


@settings(max_examples=30, deadline=None, derandomize=True)
@given(schedules, st.integers(0, 3))
def test_confirmed_records_survive_and_no_two_owners_confirm(events, seed):
    schedule = Schedule(seed)
    for event, index in events:
        schedule.apply(event, index)
    schedule._wake("a")
    schedule._up("a")
    cluster = schedule.cluster
    cluster.network.wire.faults = WireFaults()
    cluster.settle(30)
    owner = cluster.owner(GROUP)
    assert owner is not None, "the group has no owner"
    kept = bodies(owner, GROUP)
    for number, body in schedule.acked.items():
        assert kept["k", number] == body
    cluster.loop.close()
