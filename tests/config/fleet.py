"""Hosts that run only the configuration and key services.

Network and store are fakes, and time is virtual.
"""

import asyncio
import pathlib
from typing import NamedTuple

from returns.pipeline import is_successful

from magnoliaroad.config import Config, ConfigService, HostLocation, KeyGrant, Team
from magnoliaroad.config.messages import ConfigPush, ConfigReply
from magnoliaroad.config.publish import new_operation, pack_config_push
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.keys import KeyService, KeySettings, digest_key, fingerprint
from magnoliaroad.keys.messages import WithdrawalAck, WithdrawalNotice
from magnoliaroad.operators.notify import notify_hosts
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from tests.fakes import PeerNetwork, VirtualTimeLoop, Wire

KEY = "mr-key"
CUT_OFF_SERVE_S = 60.0


class FakeHost(NamedTuple):
    """The services of one host and its store client."""

    config: ConfigService
    keys: KeyService
    store: LocalStore


class Fleet:
    """Hosts ``a1``, ``a2``, ``b1``, ... in data centres ``a``, ``b``, ..."""

    def __init__(self, names, seed=0, faults=None, folder: pathlib.Path | None = None):
        self.loop = VirtualTimeLoop()
        self.network = PeerNetwork(Wire(seed, faults))
        self.state = KvState()
        self.folder = folder
        self.live: dict[str, FakeHost] = {}
        self.served_revisions = dict.fromkeys(names, 0)
        self.reverts: list[str] = []
        self.operator = self.network.join("operator", "office")
        self.operator.on(ConfigPush, None, reply=ConfigReply)
        self.operator.on(WithdrawalNotice, None, reply=WithdrawalAck)
        self.store = self.new_store()
        self.stores: dict[str, LocalStore] = {}
        for name in names:
            self.start(name)

    def new_store(self):
        return LocalStore(self.state, self.loop.time)

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    def start(self, name, with_folder=False):
        """Starts or restarts a host; ``with_folder`` gives it a data folder."""
        peers = self.network.join(name, name[0])
        for other in self.network.hosts.values():
            other.known = [a for a in other.known if a.host != "operator"]
        self.operator.known = [
            p.me for n, p in self.network.hosts.items() if len(n) < 3
        ]
        store = self.stores.setdefault(name, self.new_store())
        folder = self.folder / name if with_folder else None
        config = ConfigService(
            store,
            peers,
            location=HostLocation(name[0], name),
            folder=folder,
            defer_activation=True,
        )
        cfg = KeySettings(cut_off_serve_s=CUT_OFF_SERVE_S)
        keys = KeyService(config, store, cfg, folder, clock=self.loop.time)
        host = self.live[name] = FakeHost(config, keys, store)
        config.on_change(lambda new: self._on_change(name, new.revision))
        self.run(self._start(host))

    async def _start(self, host):
        await host.config.start()
        await host.keys.start()
        await host.keys.confirm()
        await host.config.confirm()

    def _on_change(self, name, revision):
        if revision < self.served_revisions[name]:
            self.reverts.append(f"{name}: {self.served_revisions[name]} -> {revision}")
        self.served_revisions[name] = revision

    def crash(self, name):
        host = self.live.pop(name)
        self.network.crash(name)
        self.run(host.keys.stop())
        self.run(host.config.stop())

    def sleep(self, seconds):
        self.run(asyncio.sleep(seconds))

    def set_store_faults(self, data_centres="abc", **faults):
        for name, store in self.stores.items():
            if name[0] in data_centres:
                store.faults = StoreFaults(**faults)

    def revisions(self):
        return {name: host.config.current.revision for name, host in self.live.items()}

    def write(self, edit, above=0):
        """Writes ``edit`` as a new revision and returns it.

        ``above`` is the exclusive lower bound of its number.
        """
        publisher = Publisher(self.store, "tester")
        base = self.run(publisher.read())
        config = edit(base.config)
        return self.run(publisher.write(base, config, new_operation(), above))

    def send(self, message, host):
        """Sends ``message`` as an operator's command does, until ``host`` answers."""
        self.run(self._call_until_answered(message, host))

    async def _call_until_answered(self, message, host):
        while not await notify_hosts(self.operator, [host], message):
            await asyncio.sleep(0.1)

    def send_accepted(self, accepted, host):
        self.send(pack_config_push(accepted), host)

    def send_withdrawal(self, host, key=KEY):
        item = fingerprint(digest_key(key))
        self.send(WithdrawalNotice((item,)), host)

    def refusal_code(self, name, key=KEY):
        """Returns host ``name``'s refusal code for ``key``; empty if it is served."""
        result = self.live[name].keys.identify(key)
        return "" if is_successful(result) else result.failure().code

    def close(self):
        for name in list(self.live):
            self.crash(name)
        self.loop.close()


def with_rate(rate):
    """Returns an edit that sets the only team, with ``rate``, and grants ``KEY``."""

    def edit(base: Config) -> Config:
        digest = digest_key(KEY)
        return base._replace(
            teams={"arcades": Team("arcades", rate, 10.0)},
            grants={digest: KeyGrant("till", "arcades", digest)},
        )

    return edit
