"""Measures how long changes and key withdrawals take to reach all of eight hosts."""

import asyncio
import contextlib
import itertools
import json
import re
import time
from collections.abc import AsyncIterator, Awaitable, Callable

from bench._config_size import measure_sizes
from bench._hosts import Hosts, HostSpec, host_specs, hosts_running
from magnoliaroad.config import Config, KeyGrant, Team
from magnoliaroad.config.messages import ConfigPush, ConfigReply
from magnoliaroad.config.publish import new_operation, pack_config_push
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.keys import digest_key, fingerprint
from magnoliaroad.keys.messages import WithdrawalAck, WithdrawalNotice
from magnoliaroad.keys.withdrawal_store import add_withdrawal
from magnoliaroad.operators import list_hosts
from magnoliaroad.operators.notify import choose_hosts_to_notify, notify_hosts
from magnoliaroad.peers import PeerService
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.store.client import HttpStore
from magnoliaroad.store.settings import StoreSettings

HOSTS = 8
MORE_HOSTS = 12
TRIALS = 5
SLOW_S = 0.7
BOUND_S = 4.0
GIVE_UP_S = 20.0
POLL_S = 0.005
SETTLE_S = 3.0
COUNT_S = 10.0
HOSTS_AT_FULL_SIZE = 390
DATA_CENTRES_AT_FULL_SIZE = 9
WATCHERS_PER_DATA_CENTRE = 2
CONFIG_CALLS = re.compile(
    r"^(?:config|keys)_store_calls_total\{.*\} (\S+)$", re.MULTILINE
)

HostCheck = Callable[[HostSpec], Awaitable[bool]]


class Operator:
    """Changes the configuration and withdraws keys like the operators' commands."""

    def __init__(self, hosts: Hosts) -> None:
        self.hosts = hosts
        self.store = HttpStore(StoreSettings(hosts.store_url, timeout_s=5.0))
        self.peers = PeerService(PeerSettings(), "operator", "127.0.0.1", 0)
        self.keys = (f"mr-{number}" for number in itertools.count())
        self._rates = itertools.count(1)

    async def start(self) -> None:
        """Starts the peer service and looks up the hosts in the store."""
        self.peers.on(ConfigPush, _ignore_message, reply=ConfigReply)
        self.peers.on(WithdrawalNotice, _ignore_message, reply=WithdrawalAck)
        await self.peers.start()
        records = await list_hosts(self.store)
        self.peers.set_addresses([record.peer_address for record in records])

    async def stop(self) -> None:
        """Closes the connections to the hosts and the store."""
        await self.peers.stop()
        await self.store.close()

    async def change(self, notify: bool, down: bool) -> float:
        """Publishes a change and waits until all hosts have it in force.

        Args:
            notify: Whether hosts are notified directly.
            down: Whether the store fails right after the change.

        Returns:
            Time until the last host has the change, in seconds.
        """
        publisher = Publisher(self.store, "bench")
        base = await publisher.read()
        config = _with_rate(base.config, float(next(self._rates)))
        accepted = await publisher.write(base, config, new_operation())
        started = time.perf_counter()
        tasks = [self.wait_for_all(self.has_revision(accepted.head.revision))]
        if down:
            await self.hosts.set_store_faults(down=True)
        if notify:
            tasks.append(self.notify_hosts(pack_config_push(accepted)))
        await asyncio.gather(*tasks)
        return time.perf_counter() - started

    async def withdraw(self, notify: bool, down: bool) -> float:
        """Withdraws a key and waits until all hosts refuse it.

        Args:
            notify: Whether hosts are notified directly.
            down: Whether the store fails right after the withdrawal.

        Returns:
            Time until the last host refuses the key, in seconds.
        """
        key = next(self.keys)
        item = fingerprint(digest_key(key))
        assert not await self._refuses_key(key)(self.hosts.specs[0])
        await add_withdrawal(self.store, item)
        started = time.perf_counter()
        tasks = [self.wait_for_all(self._refuses_key(key))]
        if down:
            await self.hosts.set_store_faults(down=True)
        if notify:
            tasks.append(self.notify_hosts(WithdrawalNotice((item,))))
        await asyncio.gather(*tasks)
        return time.perf_counter() - started

    async def notify_hosts(self, message) -> None:
        """Sends ``message`` directly to some hosts of each data centre."""
        await notify_hosts(
            self.peers, choose_hosts_to_notify(self.peers.addresses()), message
        )

    async def wait_for_all(self, check: HostCheck) -> None:
        """Waits until ``check`` holds on all hosts, at most ``GIVE_UP_S``."""

        async def wait(spec: HostSpec) -> None:
            while not await check(spec):
                await asyncio.sleep(POLL_S)

        tasks = asyncio.gather(*map(wait, self.hosts.specs))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(tasks, GIVE_UP_S)

    def has_revision(self, revision: int) -> HostCheck:
        """Returns a check that a host has at least ``revision`` in force."""

        async def check(spec: HostSpec) -> bool:
            return (await self.hosts.revision(spec) or 0) >= revision

        return check

    def _refuses_key(self, key: str) -> HostCheck:
        async def check(spec: HostSpec) -> bool:
            url = f"{spec.url}/services/none/x"
            headers = {"Authorization": f"Bearer {key}"}
            async with self.hosts.session.get(url, headers=headers) as resp:
                return (await resp.json())["error"]["code"] == "key_unknown"

        return check


class RevisionMonitor:
    """Counts how often a host goes back to an older revision."""

    def __init__(self, hosts: Hosts) -> None:
        self.hosts = hosts
        self.reverts = 0
        self.reads = 0
        self._served: dict[str, int] = {}

    async def run(self) -> None:
        """Reads the revisions of all hosts until it is cancelled."""
        while True:
            for spec in self.hosts.specs:
                self._record(spec, await self.hosts.revision(spec))
            await asyncio.sleep(0.02)

    def _record(self, spec: HostSpec, revision: int | None) -> None:
        if not revision:
            return
        served = self._served.get(spec.name, 0)
        self.reads += 1
        self.reverts += revision < served
        self._served[spec.name] = max(served, revision)


def _with_rate(base: Config, rate: float) -> Config:
    digests = [digest_key(f"mr-{number}") for number in range(64)]
    grants = {d: KeyGrant(f"key-{n}", "arcades", d) for n, d in enumerate(digests)}
    team = Team("arcades", rate, 100.0)
    return base._replace(teams={team.name: team}, grants=grants)


async def _ignore_message(sender: str, message: object) -> None:
    return None


async def longest(trial: Callable[..., Awaitable[float]], operator: Operator, **kw):
    """Returns the longest time of ``TRIALS`` trials, in seconds."""
    times = []
    for _ in range(TRIALS):
        times.append(await trial(**kw))
        await operator.hosts.set_store_faults()
        await asyncio.sleep(0.5)
    return max(times)


async def restart_on_stale_store(operator: Operator) -> None:
    """Restarts a host while the store serves reads from an old snapshot."""
    hosts = operator.hosts
    await hosts.set_store_faults(stale=True)
    base = await Publisher(operator.store).read()
    accepted = await Publisher(operator.store).write(
        base, _with_rate(base.config, 1e6), new_operation()
    )
    await operator.notify_hosts(pack_config_push(accepted))
    await operator.wait_for_all(operator.has_revision(accepted.head.revision))
    await hosts.kill(hosts.specs[-1])
    await hosts.start(hosts.specs[-1])
    await operator.wait_for_all(operator.has_revision(accepted.head.revision))
    await hosts.set_store_faults()


async def restart_without_store(operator: Operator) -> float:
    """Restarts a host while the store is down.

    Returns:
        Time until the host has its former revision in force again, in seconds.
    """
    hosts = operator.hosts
    spec = hosts.specs[-1]
    revision = await hosts.revision(spec) or 0
    await hosts.set_store_faults(down=True)
    await hosts.kill(spec)
    started = time.perf_counter()
    await hosts.start(spec)
    await operator.wait_for_all(operator.has_revision(revision))
    took_s = time.perf_counter() - started
    await hosts.set_store_faults()
    return took_s


async def count_calls(hosts: Hosts) -> tuple[float, float]:
    """Counts calls to the store for ``COUNT_S``.

    Returns:
        Calls per second: all, and those for configuration and keys.
    """

    async def counts() -> tuple[float, float]:
        async with hosts.session.get(f"{hosts.store_url}/standin/calls") as resp:
            total = sum((await resp.json()).values())
        own = 0.0
        for spec in hosts.specs:
            async with hosts.session.get(f"{spec.url}/metrics") as resp:
                own += sum(map(float, CONFIG_CALLS.findall(await resp.text())))
        return total, own

    before = await counts()
    await asyncio.sleep(COUNT_S)
    after = await counts()
    return (after[0] - before[0]) / COUNT_S, (after[1] - before[1]) / COUNT_S


@contextlib.asynccontextmanager
async def running_operator(hosts: Hosts) -> AsyncIterator[Operator]:
    """Runs an ``Operator`` until the block ends."""
    operator = Operator(hosts)
    await operator.start()
    try:
        yield operator
    finally:
        await operator.stop()


async def measure() -> dict[str, float]:
    """Runs the benchmark and returns its results by name."""
    figures: dict[str, float] = {}
    async with hosts_running(HOSTS) as hosts, running_operator(hosts) as operator:
        await operator.change(notify=True, down=False)
        monitor = RevisionMonitor(hosts)
        monitor_task = asyncio.create_task(monitor.run())
        for name, trial in (
            ("change", operator.change),
            ("withdrawal", operator.withdraw),
        ):
            run = lambda trial=trial, **kw: longest(trial, operator, **kw)  # noqa: E731
            figures[f"{name}_well_s"] = await run(notify=True, down=False)
            figures[f"{name}_well_untold_s"] = await run(notify=False, down=False)
            figures[f"{name}_down_s"] = await run(notify=True, down=True)
            figures[f"{name}_slow_s"] = await longest_slow(operator, trial)
        await restart_on_stale_store(operator)
        figures["start_down_s"] = await restart_without_store(operator)
        await asyncio.sleep(SETTLE_S)
        monitor_task.cancel()
        total, own = await count_calls(hosts)
        for spec in host_specs(MORE_HOSTS)[HOSTS:]:
            await hosts.start(spec)
        figures["own_store_calls_per_s_12_hosts"] = (await count_calls(hosts))[1]
        figures["reverts"] = monitor.reverts
        figures["revision_reads"] = monitor.reads
        figures["store_calls_per_s_8_hosts"] = total
        figures["own_store_calls_per_s_8_hosts"] = own
        watchers = WATCHERS_PER_DATA_CENTRE * DATA_CENTRES_AT_FULL_SIZE
        figures["own_store_calls_per_s_390_hosts_computed"] = own / HOSTS * watchers
    times = [value for name, value in figures.items() if name.endswith("_s")]
    figures["bound_s"] = BOUND_S
    figures["worst_s"] = max(times)
    return figures | measure_sizes()


async def longest_slow(
    operator: Operator, trial: Callable[..., Awaitable[float]]
) -> float:
    """Returns the longest time of ``TRIALS`` trials with a slow store, in seconds."""
    times = []
    await operator.hosts.set_store_faults(delay_s=SLOW_S)
    for _ in range(TRIALS):
        times.append(await trial(notify=False, down=False))
    await operator.hosts.set_store_faults()
    return max(times)


def main(args: list[str]) -> None:
    figures = asyncio.run(measure())
    print(json.dumps({name: round(value, 3) for name, value in figures.items()}))
