import asyncio

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from magnoliaroad.verdict import Verdict
from tests.fakes import WireFaults
from tests.once.cluster import Cluster

HOSTS = ("a", "b", "c")
HOST = st.sampled_from(HOSTS)
PAYMENT = st.tuples(
    st.just("pay"),
    HOST,
    st.sampled_from(("p", "q")),
    st.sampled_from((Verdict.RAN, Verdict.RAN, None, *Verdict)),
)
FAULT = st.one_of(
    st.tuples(st.just("crash"), HOST),
    st.tuples(st.just("restart"), HOST),
    st.tuples(st.just("take_over"), HOST),
    st.tuples(st.just("cut"), HOST),
    st.tuples(st.just("heal"), HOST),
    st.tuples(st.just("fail"), HOST, st.sampled_from(("here", "kept"))),
    st.tuples(st.just("wait"), HOST),
)
STEPS = st.lists(
    st.tuples(st.sampled_from((0.001, 0.1, 0.6, 3.0)), st.one_of(PAYMENT, FAULT)),
    min_size=4,
    max_size=16,
)
FAULTS = st.sampled_from(
    (WireFaults(), WireFaults(0.001, 0.4, drop=0.1, duplicate=0.3))
)


def apply_fault(cluster, kind, host, rest):
    others = [name for name in HOSTS if name != host]
    if kind == "crash" and cluster.incarnations[host]:
        cluster.crash(host)
    elif kind == "restart":
        cluster.start(host)
    elif kind == "take_over" and cluster.incarnations[host]:
        cluster.table.take_over(host)
    elif kind == "cut":
        cluster.network.wire.cut([host], others)
    elif kind == "heal":
        cluster.network.wire.heal()
    elif kind == "fail":
        cluster.table.fail[host] = rest[0]


async def run_steps(cluster, steps):
    payments = []
    for pause_s, (kind, host, *rest) in steps:
        if kind == "pay" and cluster.incarnations[host]:
            key, outcome = rest
            task = asyncio.create_task(cluster.pay(host, key, outcome=outcome))
            payments.append((key, task))
        else:
            apply_fault(cluster, kind, host, rest)
        await asyncio.sleep(pause_s)
    return [(key, await task) for key, task in payments]


@settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(st.integers(0, 1000), FAULTS, st.sampled_from((0.0, 0.4)), STEPS)
def test_no_schedule_of_faults_runs_a_payment_twice(seed, faults, append_s, steps):
    cluster = Cluster(seed, faults, append_s)
    try:
        responses = cluster.run(run_steps(cluster, steps))
    finally:
        for task in asyncio.all_tasks(cluster.loop):
            task.cancel()
        cluster.run(asyncio.sleep(0))
        cluster.loop.close()
    assert all(runs <= 1 for runs in cluster.runs.values())
    answers = {text for _, text in responses if text.startswith("run")}
    assert answers <= {"run 1"}
