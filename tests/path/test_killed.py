"""A payment runs at most once even if the process of its host is killed.

The host is killed before the payment is sent, after its intent is recorded, while
the service runs it, and after the answer. The caller then repeats the payment at
another host, which must not run it again.
"""

import asyncio
import contextlib
import json
import os
import sys

import aiohttp

from magnoliaroad.config.publish import publish
from magnoliaroad.standins.deployment import DEMO_KEY, demo_config
from magnoliaroad.standins.kv_server import KvServer
from magnoliaroad.standins.link import Link
from magnoliaroad.standins.serve_app import serve_app
from magnoliaroad.standins.service_server import ServiceServer
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings
from tests.fakes.ports import free_port

# Beyond this time the test has hung and fails instead of blocking the suite.
HANG_S = 90
HOSTS = ("host-1", "host-2", "host-3")
RETRIED_CODES = ("not_recorded", "in_progress", "not_ready", "over_rate")


class HostProcesses:
    """Three hosts as processes; the link between them and a service can be cut."""

    def __init__(self, folder, store_url, service, link):
        self.folder = folder
        self.store_url = store_url
        self.service = service
        self.link = link
        self.procs = {}
        self.urls = {}

    def print_logs(self):
        """Prints the last lines of the hosts' logs, which pytest shows on a failure."""
        for host in self.procs:
            lines = self._log_path(host).read_text().splitlines()
            print(host, *(line[:300] for line in lines[-20:]), sep="\n")

    def _log_path(self, host):
        return self.folder / f"{host}.log"

    async def kill(self, host):
        self.procs[host].kill()
        await self.procs[host].wait()

    async def stop(self):
        for proc in self.procs.values():
            if proc.returncode is None:
                proc.kill()
            await proc.wait()

    async def pay(self, host, key, delay_s=0.0):
        """Sends a payment until its outcome is known, and returns the outcome."""
        while True:
            outcome = await self.pay_once(host, key, delay_s)
            if outcome not in RETRIED_CODES:
                return outcome
            await asyncio.sleep(0.1)

    async def pay_once(self, host, key, delay_s=0.0):
        url = f"{self.urls[host]}/services/payouts/pay?delay_s={delay_s}"
        headers = {"Authorization": f"Bearer {DEMO_KEY}", "Idempotency-Key": key}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers) as resp,
        ):
            answer = await resp.json()
        return answer["error"]["code"] if resp.status != 200 else "answered"

    async def start(self, host):
        cfg = {
            "name": host,
            "data_centre": "kolkata-1",
            "listen": {
                "address": f"127.0.2.{HOSTS.index(host) + 1}",
                "http_port": free_port(),
                "peer_port": 0,
            },
            "store": {"url": self.store_url},
            "once": {"lost_after_s": 1.0},
            "programs": {
                "turn_check_s": 0.5,
                "turn_lease_s": 1.0,
                "engine_sweep_s": 1.0,
            },
        }
        listen = cfg["listen"]
        self.urls[host] = f"http://{listen['address']}:{listen['http_port']}"
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(cfg))
        with self._log_path(host).open("w") as log:
            self.procs[host] = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "magnoliaroad", "host", str(path)),
                stderr=log,
                env=os.environ | {"PYTHONPATH": "src"},
            )
        await self._wait_ready(host, self.urls[host])

    async def _wait_ready(self, host, url):
        while True:
            assert self.procs[host].returncode is None, f"{host} has ended"
            try:
                async with (
                    aiohttp.ClientSession() as session,
                    session.get(url + "/ready") as resp,
                ):
                    if resp.status == 200:
                        return
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def three_hosts(folder):
    service = ServiceServer()
    async with (
        serve_app(KvServer().app()) as store_url,
        serve_app(service.app()) as service_url,
    ):
        address, port = service_url.removeprefix("http://").split(":")
        link = Link("127.0.0.1", 0, (address, int(port)))
        await link.start()
        config = demo_config(service_url, f"http://{link.address}:{link.port}")
        store = HttpStore(StoreSettings(store_url))
        await publish(store, lambda base: config)
        await store.close()
        hosts = HostProcesses(folder, store_url, service, link)
        try:
            await asyncio.gather(*(hosts.start(host) for host in HOSTS))
            yield hosts
        finally:
            await hosts.stop()
            link.close()


async def after_the_intent(hosts, pay):
    dropped_reads = hosts.link.dropped_reads
    hosts.link.cut()
    sent = asyncio.create_task(pay)
    await wait_until(lambda: hosts.link.dropped_reads > dropped_reads)
    return sent


async def while_it_runs(hosts, pay):
    sent = asyncio.create_task(pay)
    await wait_until(lambda: hosts.service.runs["while_it_runs"])
    return sent


async def after_the_answer(hosts, pay):
    sent = asyncio.create_task(pay)
    await asyncio.wait([sent])
    return sent


async def before_the_intent(hosts, pay):
    pay.close()
    return


KILL_POINTS = {
    before_the_intent: ("answered", 1),
    after_the_intent: ("may_have_run", 0),
    while_it_runs: ("may_have_run", 1),
    after_the_answer: ("answered", 1),
}


async def test_a_payment_runs_at_most_once_wherever_its_host_is_killed(tmp_path):
    async with asyncio.timeout(HANG_S), three_hosts(tmp_path) as hosts:
        for point, (expected, runs) in KILL_POINTS.items():
            key = point.__name__
            delay_s = 60 if point is while_it_runs else 0
            await hosts.pay("host-2", f"warm-{key}")
            sent = await point(hosts, hosts.pay("host-2", key, delay_s))
            await hosts.kill("host-2")
            hosts.link.heal()
            if sent is not None:
                await asyncio.wait([sent])
            assert await hosts.pay("host-3", key, delay_s) == expected, key
            assert hosts.service.runs[key] == runs, key
            await hosts.start("host-2")
