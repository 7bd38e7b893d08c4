"""The home hosts that programs had before the set of hosts changed."""

from magnoliaroad.program_homes import HomeHistory
from magnoliaroad.program_homes.history import RETENTION_S
from magnoliaroad.rendezvous import highest_ranked

PROGRAMS = [f"p-{n}" for n in range(50)]


def test_the_homes_of_earlier_sets_are_known_the_latest_first():
    """Guards against tokens that stay with a host which is the home no more."""
    history = HomeHistory()
    sets = [("a", "b", "c"), ("a", "b"), ("b", "d")]
    for at, hosts in enumerate(sets):
        history.record(hosts, float(at))
        history.record(hosts, at + 0.5)
    for program in PROGRAMS:
        expected = dict.fromkeys(highest_ranked(program, s) for s in reversed(sets))
        assert history.former_homes(program, 3.0) == list(expected)


def test_sets_that_ended_long_ago_are_forgotten():
    history = HomeHistory()
    history.record(("a",), 0.0)
    history.record(("b",), 1.0)
    assert history.former_homes("p", 1.0 + RETENTION_S) == ["b", "a"]
    assert history.former_homes("p", 1.1 + RETENTION_S) == ["b"]
