import asyncio

from tests.programs.fleet import Fleet


def test_a_sole_host_acts_for_its_programs_after_a_long_pause():
    fleet = Fleet()
    for name in "bc":
        fleet.crash(name)
        fleet.settle(20)
    assert fleet.ask("a", "q1", "a1")[1]
    fleet.run(asyncio.sleep(fleet.cfg.stall_limit_s + 1.0))
    fleet.run(fleet.programs["a"].sweep())
    assert fleet.owner_host("p") is None
    fleet.settle()
    assert fleet.ask("a", "q2", "a2")[1]
    assert fleet.contents("a") == ["q1", "a1", "q2", "a2"]
    fleet.loop.close()
