import subprocess
import sys
from pathlib import Path

from tests.fakes import ports
from tests.fakes.ports import free_port

EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_a_free_port_is_not_an_ephemeral_port():
    """A host of a soak test could not restart: an outgoing connection had its port."""
    lowest = int(EPHEMERAL_PORT_RANGE.read_text().split()[0])
    assert all(free_port() < lowest for _ in range(200))


def test_a_port_is_returned_only_once():
    """Two servers of a test got the same port, and one could not listen."""
    assert len({free_port() for _ in range(1000)}) == 1000


def test_two_processes_get_different_ports(monkeypatch):
    """Of two soaks at once, one had a host that could not start."""
    first = free_port()
    monkeypatch.setattr(ports, "FIRST_PORT", first + 1)
    monkeypatch.setattr(ports, "LAST_PORT", first + 400)
    chosen = {free_port() for _ in range(100)}
    program = (
        "from tests.fakes import ports\n"
        f"ports.FIRST_PORT, ports.LAST_PORT = {first + 1}, {first + 400}\n"
        "print(*(ports.free_port() for _ in range(100)))"
    )
    output = subprocess.check_output([sys.executable, "-c", program], text=True)
    assert chosen.isdisjoint(map(int, output.split()))
