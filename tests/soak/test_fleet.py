"""How the soak starts and ends its processes."""

import pytest

from tests.soak.fleet import Fleet


class UnreadyFleet(Fleet):
    async def until_ready(self, limit_s=20.0):
        raise TimeoutError


async def test_no_process_outlives_a_fleet_that_does_not_start(tmp_path):
    """Hosts of a soak that had failed asked its store's port, by then a target's."""
    fleet = UnreadyFleet(tmp_path, relays=1, records=1)
    with pytest.raises(TimeoutError):
        async with fleet:
            pass
    assert len(fleet.processes) == 2
    assert all(process.proc.returncode is not None for process in fleet.processes)


async def test_a_host_that_ends_at_its_start_is_named(tmp_path):
    """A soak waited for 20 s and did not tell that a host had ended."""
    program = tmp_path / "host.py"
    program.write_text("raise SystemExit(1)\n")
    with pytest.raises(RuntimeError, match="relay-0: ended by itself with 1"):
        async with Fleet(tmp_path, relays=1, records=0, program=program):
            pass
