import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from magnoliaroad.verdict import Verdict
from tests.once.cluster import Cluster

scenarios("at_most_once.feature")

OUTCOMES = {"lost": None} | {verdict.value: verdict for verdict in Verdict}


@pytest.fixture
def responses():
    return []


@given("three hosts and a payout service", target_fixture="cluster")
def _cluster():
    cluster = Cluster()
    yield cluster
    cluster.loop.close()


@when(parsers.parse('host "{host}" takes the payment "{key}", which ends as {end}'))
def _pay(cluster, responses, host, key, end):
    responses.append(cluster.run(cluster.pay(host, key, outcome=OUTCOMES[end])))


@when("nothing happens")
def _no_event():
    return


@when(parsers.parse('the owner is taken over by "{host}"'))
def _take_over(cluster, host):
    cluster.crash("a")
    cluster.table.take_over(host)


@when("the owner dies and none follows")
def _no_owner(cluster):
    cluster.crash("a")


@when(parsers.parse('host "{host}" dies'))
def _crash(cluster, host):
    cluster.crash(host)


@when('host "b" dies and the owner changes')
def _crash_both(cluster):
    cluster.crash("b")
    cluster.crash("a")
    cluster.table.take_over("c")


@when('host "b" restarts')
def _restart(cluster):
    cluster.crash("b")
    cluster.start("b")


@when('host "b" restarts and the owner dies')
def _restart_and_change(cluster):
    _restart(cluster)
    _take_over(cluster, "c")


@when('host "b" dies and 6 seconds pass')
def _crash_and_wait(cluster):
    cluster.crash("b")
    cluster.run(asyncio.sleep(6))


@when(parsers.parse('the owner\'s next append is left "{left}"'))
def _fail_next_append(cluster, left):
    cluster.table.fail["a"] = left


@when(parsers.parse('the payment "{key}" is repeated at host "{host}"'))
def _repeat(cluster, responses, key, host):
    responses.append(cluster.run(cluster.pay(host, key)))


@when(parsers.parse('the payment "{key}" is sent to host "{host}" with another body'))
def _other_body(cluster, responses, key, host):
    responses.append(cluster.run(cluster.pay(host, key, "700")))


@when(parsers.parse('the payment "{key}" is sent to hosts "{one}" and "{two}" at once'))
def _pay_at_both(cluster, responses, key, one, two):
    async def both():
        return await asyncio.gather(cluster.pay(one, key), cluster.pay(two, key))

    responses.extend(cluster.run(both()))


@when(parsers.parse('host "{host}" is cut off from the others'))
def _cut(cluster, host):
    cluster.network.wire.cut([host], ["a", "b"])


@then(parsers.parse('the caller hears "{text}"'))
def _last_response_is(responses, text):
    assert responses[-1] == text


@then(parsers.parse('one caller hears "{one}" and the other "{other}"'))
def _responses_are(responses, one, other):
    assert sorted(responses) == sorted((one, other))


@then(parsers.parse('the service ran "{key}" at most once'))
def _at_most_once(cluster, key):
    assert cluster.runs[key] <= 1
