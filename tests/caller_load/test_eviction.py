"""Which connections are ended to make room for others."""

from magnoliaroad.caller_load.eviction import (
    ARRIVAL_S,
    Phase,
    Standing,
    eviction_order,
)
from magnoliaroad.caller_load.open_connections import EVICTED_PART, OpenConnections

NOW = 100.0
EARLIER = NOW - 2 * ARRIVAL_S


class Conn:
    def __init__(self, phase, since, goes_on=False):
        self.phase = phase
        self.since = since
        self.goes_on = goes_on
        self.evicted = False

    def standing(self):
        return Standing(self.phase, self.since)

    def evict(self):
        self.evicted = not self.goes_on
        return self.evicted


def test_requests_that_do_not_arrive_are_ended_first_and_served_ones_never():
    stopped = [Conn(Phase.RECEIVING, EARLIER - age) for age in (5.0, 1.0)]
    idle = [Conn(Phase.IDLE, NOW - age) for age in (60.0, 0.1)]
    arriving = [Conn(Phase.RECEIVING, NOW - 0.1)]
    unread = [Conn(Phase.SENDING, EARLIER - 9.0)]
    served = [Conn(Phase.SERVED, EARLIER - 50.0)]
    order = eviction_order([*served, *unread, *arriving, *idle[::-1], *stopped], NOW)
    assert order == [*stopped, *idle, *arriving, *unread]


def test_room_is_made_for_many_at_once():
    """Guards against a search through all connections for each new one."""
    connections = OpenConnections("callers", 10 * EVICTED_PART)
    old = [Conn(Phase.IDLE, float(number)) for number in range(10 * EVICTED_PART)]
    assert all(connections.add(conn) for conn in old)
    assert connections.add(Conn(Phase.IDLE, NOW))
    evicted = [conn for conn in old if conn.evicted]
    assert evicted == old[: 1 + 10]
    assert len(connections) == len(old) - len(evicted) + 1


def test_a_connection_that_goes_on_just_now_is_not_ended():
    connections = OpenConnections("callers", 2)
    going_on, idle = Conn(Phase.IDLE, 1.0, goes_on=True), Conn(Phase.IDLE, 2.0)
    assert connections.add(going_on)
    assert connections.add(idle)
    assert connections.add(Conn(Phase.IDLE, NOW))
    assert (going_on.evicted, idle.evicted) == (False, True)


def test_nothing_is_ended_for_a_connection_without_need():
    connections = OpenConnections("callers", 2)
    served = [Conn(Phase.SERVED, 1.0) for _ in range(2)]
    assert all(connections.add(conn) for conn in served)
    assert not connections.add(Conn(Phase.IDLE, NOW))
    connections.remove(served[0])
    assert connections.add(Conn(Phase.IDLE, NOW))
