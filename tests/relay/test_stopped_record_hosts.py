"""Turns whose only copies are in the journals of record hosts that are down."""

import asyncio
import math

import pytest

from magnoliaroad.records.messages import KeepRecord
from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.relay.app import RelayApplication
from magnoliaroad.relay.host_entry import unpack_host
from magnoliaroad.relay.record_app import DRAIN_TIMEOUT_S, RecordApplication
from magnoliaroad.relay.settings import RelayListen, RelaySettings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import StoreRateLimited
from magnoliaroad.store.settings import StoreSettings
from tests.relay.test_targets import StandinEntryDecoder

KEY = "turns/1"
RETENTION_S = 60.0
RECORD = KeepRecord(KEY, b"hello", 2 * RETENTION_S + 5.0, [], True)
# Limit of a turn's lookup in these tests, in seconds.
PATIENCE_S = 2.0


class RefusingStore(LocalStore):
    """A store that can be made to refuse records, and nothing else."""

    refuses_records = False

    async def put_many(self, puts):
        if self.refuses_records:
            raise StoreRateLimited("too many calls")
        return await super().put_many(puts)


class Hosts:
    """Record and relay hosts of one store; their clocks are that of the loop."""

    def __init__(self, loop, folder):
        self.loop = loop
        self.folder = folder
        self.state = KvState()

    def settings(self, name):
        return RelaySettings(
            name=name,
            data_centre="dc-1",
            listen=RelayListen("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
            store=StoreSettings("http://127.0.0.1:4"),
            data_folder=str(self.folder / name),
        )

    async def start_record_host(self, name="records-1"):
        """Starts a record host that has written all its entries to the store."""
        store = RefusingStore(self.state, self.loop.time)
        app = RecordApplication(self.settings(name), store, StandinEntryDecoder())
        await app.start()
        await asyncio.sleep(1.0)
        return app, store

    async def fetch(self):
        """Returns the record as a relay host that starts now finds it."""
        store = LocalStore(self.state, self.loop.time)
        app = RelayApplication(
            self.settings("relay-1"), store, None, StandinEntryDecoder()
        )
        app.contact.connected_since = -math.inf
        async with asyncio.timeout(PATIENCE_S):
            return await app.records.fetch(KEY)


async def keep(app):
    """Makes a record host sync a record, and returns before it is stored."""
    assert (await app.records._on_keep("relay-1", RECORD)).synced


async def kill(app, store):
    """Stops a record host without any further effect on the store."""
    store.faults = StoreFaults(down=True)
    await app.stop()


def run_scenario(loop, tmp_path, body):
    async def run():
        hosts = Hosts(loop, tmp_path)
        app, store = await hosts.start_record_host()
        try:
            await body(hosts, app, store)
        finally:
            await app.stop()

    loop.run_until_complete(run())


def test_a_stop_repeats_writes_that_the_store_refuses(loop, tmp_path):
    async def body(hosts, app, store):
        await keep(app)
        store.refuses_records = True
        loop.call_later(DRAIN_TIMEOUT_S / 2, setattr, store, "refuses_records", False)
        await app.drain()
        assert hosts.state.get(KEY) is not None

    run_scenario(loop, tmp_path, body)


def test_the_log_tells_how_many_records_a_stopped_host_has_left(loop, tmp_path, logged):
    async def body(hosts, app, store):
        await keep(app)
        store.refuses_records = True
        await app.drain()
        (line,) = (
            line for line in logged if line["event"].startswith("records not all")
        )
        assert line["left"] == 1

    run_scenario(loop, tmp_path, body)


def test_a_turn_that_a_stopped_host_has_not_stored_is_not_absent(loop, tmp_path):
    async def body(hosts, app, store):
        await keep(app)
        store.refuses_records = True
        await app.drain()
        await app.stop()
        assert hosts.state.get("hosts/records-1") is None
        with pytest.raises(TimeoutError):
            await hosts.fetch()

    run_scenario(loop, tmp_path, body)


def test_a_turn_on_a_killed_host_is_not_absent_while_it_can_be_continued(
    loop, tmp_path
):
    async def body(hosts, app, store):
        # The mark is about to be renewed for the first time.
        await asyncio.sleep(RecordSettings().mark_s / 3 - 2.0)
        await keep(app)
        await kill(app, store)
        await asyncio.sleep(RETENTION_S - PATIENCE_S)
        hosts.state.expire(loop.time())
        assert hosts.state.get("hosts/records-1") is None
        with pytest.raises(TimeoutError):
            await hosts.fetch()

    run_scenario(loop, tmp_path, body)


def test_a_turn_is_found_once_its_stopped_host_is_back(loop, tmp_path):
    async def body(hosts, app, store):
        await keep(app)
        store.refuses_records = True
        await app.drain()
        await app.stop()
        again, _ = await hosts.start_record_host()
        assert await hosts.fetch() == RECORD.value
        await again.drain()
        await again.stop()
        assert not hosts.state.list("hosts/").changed

    run_scenario(loop, tmp_path, body)


def test_absence_is_certain_after_a_host_that_has_stored_all_has_stopped(
    loop, tmp_path
):
    async def body(hosts, app, store):
        await app.drain()
        await app.stop()
        assert await hosts.fetch() is None

    run_scenario(loop, tmp_path, body)


def test_a_lost_host_makes_absence_uncertain_for_a_limited_time(loop, tmp_path):
    async def body(hosts, app, store):
        await kill(app, store)
        await asyncio.sleep(RecordSettings().mark_s)
        assert await hosts.fetch() is None

    run_scenario(loop, tmp_path, body)


def test_older_builds_can_read_the_mark(loop, tmp_path):
    """They read each entry under the hosts' prefix as that of a host."""

    async def body(hosts, app, store):
        mark = hosts.state.get("hosts/records-1/journal")
        assert not unpack_host(mark.value).relays

    run_scenario(loop, tmp_path, body)
