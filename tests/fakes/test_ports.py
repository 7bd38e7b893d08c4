from pathlib import Path

from tests.fakes.ports import free_port

EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_a_free_port_is_not_an_ephemeral_port():
    """A host of a soak test could not restart: an outgoing connection had its port."""
    lowest = int(EPHEMERAL_PORT_RANGE.read_text().split()[0])
    assert all(free_port() < lowest for _ in range(200))


def test_a_port_is_returned_only_once():
    """Two servers of a test got the same port, and one could not listen."""
    assert len({free_port() for _ in range(1000)}) == 1000
