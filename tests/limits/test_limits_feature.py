import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from magnoliaroad.config import Team
from tests.fakes.limit_hosts import Arrival, LimitHosts, worst_excess

scenarios("limits.feature")

LAYOUT = {"a": ["a1", "a2"], "b": ["b1", "b2"], "c": ["c1"]}
HOSTS = [host for hosts in LAYOUT.values() for host in hosts]
TEAM = Team("arcades", rate=8.0, burst=12.0)
GREEDY = Team("greedy", rate=10.0, burst=10.0)
EXACT = 1e-6


@pytest.fixture
def later():
    return []


@given(
    "a fleet of three data centres and a team with rate 8 and burst 12",
    target_fixture="fleet",
)
def _fleet():
    fleet = LimitHosts(LAYOUT, [TEAM, GREEDY], seed=3)
    fleet.run(60.0)
    return fleet


def spaced(fleet, rate, seconds, host, team=TEAM):
    count = int(rate * seconds)
    return [Arrival(fleet.now + i / rate, host, team.name) for i in range(count)]


def results_of(fleet, team=TEAM):
    return [result for result in fleet.results if result.arrival.team == team.name]


@when(
    parsers.parse('the team sends {rate:d} requests a second to "{host}" for {s:d} s')
)
def _steady(fleet, later, rate, host, s):
    fleet.run(fleet.now + s + 1, later + spaced(fleet, rate, s, host))


@when(parsers.parse("another team sends five times its rate everywhere for {s:d} s"))
def _greedy(fleet, later, s):
    for host in HOSTS:
        later += spaced(fleet, 5 * GREEDY.rate / len(HOSTS), s, host, GREEDY)


@when(parsers.parse('the team sends {count:d} requests at once to "{host}"'))
def _at_once(fleet, count, host):
    arrivals = [Arrival(fleet.now, host, TEAM.name)] * count
    fleet.run(fleet.now + 1.0, arrivals)


@when(parsers.parse("{s:d} s go by"))
def _wait(fleet, s):
    fleet.run(fleet.now + s)


@when(parsers.parse('"{host}" hears nobody and is taken off the list'))
def _cut_host(fleet, host):
    others = [name for name in HOSTS if name != host]
    fleet.wire.cut([host], [*others, "store"])
    fleet.unlist({host})
    fleet.run(fleet.now + 10.0)


@when(parsers.parse('"{host}" is heard by nobody'))
def _cut_outgoing(fleet, host):
    others = [name for name in HOSTS if name != host]
    fleet.wire.cut([host], [*others, "store"], both=False)
    fleet.unlist({host})
    fleet.run(fleet.now + 10.0)


@when(parsers.parse('"{host}" is paused for {s:d} s'))
def _pause(fleet, host, s):
    fleet.pause(host, fleet.now + s)
    fleet.unlist({host})
    arrivals = [Arrival(fleet.now + 1.0, host, TEAM.name)] * 5
    fleet.run(fleet.now + 2.0, arrivals)
    fleet.run(fleet.now + s - 2.0)


@when(
    parsers.parse('"{host}" restarts {count:d} times, each time flooded with requests')
)
def _restart(fleet, host, count):
    for _ in range(count):
        arrivals = [Arrival(fleet.now, host, TEAM.name)] * 30
        fleet.run(fleet.now + 1.0, arrivals)
        fleet.end(host)
        fleet.start(host)


@when("the store is down")
def _store_down(fleet):
    fleet.store_down = True


@when(parsers.parse('data centre "{place}" is cut off'))
def _cut(fleet, place):
    outside = [host for host in HOSTS if host not in LAYOUT[place]]
    fleet.wire.cut(LAYOUT[place], [*outside, "store"])


@when(parsers.parse('"{host}" ends'))
def _end(fleet, host):
    fleet.end(host, listed=False)


@when(parsers.parse('the platform says that "{host}" is gone'))
def _removed(fleet, host):
    fleet.set_removed_hosts([host])


@when(parsers.parse('"{host}" gives its shares up'))
def _stop(fleet, host):
    process = fleet.processes[host]
    process.protocol.stop(process.clock(fleet.now))


@when(parsers.parse("the burst is set to {burst:d}"))
def _set_burst(fleet, burst):
    fleet.set_team(TEAM._replace(burst=float(burst)))


@then("no request was refused")
def _none_refused(fleet):
    assert results_of(fleet)
    assert all(result.admitted for result in results_of(fleet))


@then("100 more refusals of the other team cost no message")
def _refusals_send_nothing(fleet):
    fleet.run(fleet.now + 0.5, spaced(fleet, 400, 0.5, "c1", GREEDY))
    host = fleet.processes["c1"]
    now = host.clock(fleet.now)
    while host.limiter.decide(now, GREEDY.name, -1) is None:
        pass
    host.limiter.outbox.clear()
    refused = [host.limiter.decide(now, GREEDY.name, -1) for _ in range(100)]
    assert None not in refused
    assert not host.limiter.outbox


@then(parsers.parse("each refusal came within {s:f} s of its request"))
def _refused_promptly(fleet, s):
    refused = [result for result in results_of(fleet) if not result.admitted]
    assert refused
    assert all(result.at - result.arrival.at <= s for result in refused)


@then("a request sent after the first retry time is admitted")
def _admitted_after_retry_time(fleet):
    refused = [result for result in results_of(fleet) if not result.admitted]
    earliest = min(result.at + result.retry_after_s for result in refused)
    at = max(fleet.now, earliest)
    fleet.run(at + 1.0, [Arrival(at, "a1", TEAM.name)])
    assert results_of(fleet)[-1].admitted


@then(parsers.parse('"{host}" may use nothing'))
def _uses_nothing(fleet, host):
    assert fleet.host_fraction(host, TEAM.name) == 0.0


@then(parsers.parse('"{host}" may use its own share'))
def _uses_own_share(fleet, host):
    assert fleet.host_fraction(host, TEAM.name) == pytest.approx(1 / 6)


@then("the fractions in use add up to 1")
def _fractions_add_up(fleet):
    assert fleet.spendable(TEAM.name)[1] == pytest.approx(1.0)


@then(parsers.parse('"{host}" admitted what had reached it on borrowed tokens only'))
def _only_borrowed(fleet, host):
    late = [
        result
        for result in results_of(fleet)
        if result.arrival.host == host and result.admitted
    ]
    assert all(result.at > result.arrival.at for result in late)


@then("no window held more than rate and burst")
def _within_rate_and_burst(fleet):
    times = [result.at for result in results_of(fleet) if result.admitted]
    assert worst_excess(times, TEAM.rate, TEAM.burst) <= EXACT


@then(parsers.parse("fewer than {count:d} tokens are there"))
def _fewer_tokens(fleet, count):
    assert fleet.spendable(TEAM.name)[0] < count
