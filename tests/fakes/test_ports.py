from pathlib import Path

from tests.fakes.ports import free_port

OUTGOING = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_a_free_port_is_none_that_an_outgoing_connection_may_take():
    """A soak's host could not start again: its port was taken meanwhile."""
    lowest = int(OUTGOING.read_text().split()[0])
    assert all(free_port() < lowest for _ in range(200))


def test_a_port_is_given_out_once():
    """Two servers of one test were given the same port, and one could not listen."""
    assert len({free_port() for _ in range(1000)}) == 1000
