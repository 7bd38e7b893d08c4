"""Records survive the loss of hosts and disks and outages of the store."""

import asyncio

import pytest

from magnoliaroad.peers import PeerAddress
from magnoliaroad.records.client import RecordClient
from magnoliaroad.records.messages import KeepRecord, RecordHostHeartbeat
from magnoliaroad.records.service import POSTPONE_S, RecordService
from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.relay.settings import TurnSettings
from magnoliaroad.standins.faults import StoreFaults
from magnoliaroad.standins.kv_state import MAX_VALUE_BYTES, KvState
from magnoliaroad.standins.local_store import LocalStore
from magnoliaroad.store import StoreUnavailable
from magnoliaroad.store.leases import MAX_RETENTION_S, LeasePool
from tests.fakes.loop import VirtualTimeLoop
from tests.fakes.peers import PeerNetwork

CFG = RecordSettings()
# Longest wait for a turn to be stored, in seconds.
STORE_PATIENCE_S = TurnSettings().store_patience_s
DATA_CENTRES = {"r1": "dc-1", "r2": "dc-2", "r3": "dc-3"}


@pytest.fixture
def loop():
    loop = VirtualTimeLoop()
    yield loop
    loop.close()


class Fleet:
    def __init__(self, loop, folder, cfg=CFG):
        self.cfg = cfg
        self.loop = loop
        self.folder = folder
        self.state = KvState()
        self.store = LocalStore(self.state, loop.time)
        self.network = PeerNetwork()
        self.hosts = {}
        self.list_is_complete = True
        self.is_isolated = False
        self.helpers = []
        peers = self.network.join("relay", "dc-1")
        self.client = RecordClient(
            cfg,
            "dc-1",
            self.store,
            LeasePool(self.store, loop.time),
            peers,
            self.refresh_hosts,
            lambda: self.helpers,
            lambda: self.list_is_complete,
            lambda: self.is_isolated,
            now=loop.time,
        )

    async def refresh_hosts(self):
        await self.store.list("hosts/")

    async def start(self, name):
        peers = self.network.join(name, DATA_CENTRES[name])
        service = RecordService(
            self.cfg, self.folder / name, self.store, peers, self.loop.time
        )
        await service.start()
        self.hosts[name] = service
        self.send_heartbeats(name)

    async def add_place(self, place):
        """Adds a place for a second copy: a record host, the store or a helper."""
        if place == "host":
            await self.start("r2")
        elif place == "store":
            self.store.faults = StoreFaults()
        else:
            helper = self.network.join("helper", "dc-2")
            store = LocalStore(self.state, self.loop.time)
            leases = LeasePool(store, self.loop.time)
            # Its handlers answer for the helper.
            RecordClient(self.cfg, "dc-2", store, leases, helper, self.refresh_hosts)
            self.helpers = ["helper"]

    def send_heartbeats(self, *names):
        self.client.hosts_listed = True
        for name in names:
            accepts = self.hosts[name].accepts
            address = PeerAddress(name, DATA_CENTRES[name], "127.0.0.1", 0)
            self.client.process_heartbeat(RecordHostHeartbeat(*address, accepts))

    def slow_sync(self, name, delay_s):
        """Makes the replies of a host to new records late, and nothing else."""
        handlers = self.network.hosts[name]._handlers
        keep = handlers[KeepRecord]

        async def keep_slowly(sender, req):
            await asyncio.sleep(delay_s)
            return await keep(sender, req)

        handlers[KeepRecord] = keep_slowly

    async def stop(self, name):
        """Stops a host before it can write any more records to the store."""
        service = self.hosts.pop(name)
        service._pending.next_batch = lambda now, everything=False: []
        await service.stop()
        self.network.crash(name)


def run_scenario(loop, tmp_path, body, hosts=tuple(DATA_CENTRES), cfg=CFG):
    async def run():
        fleet = Fleet(loop, tmp_path, cfg)
        for name in hosts:
            await fleet.start(name)
        try:
            await body(fleet)
        finally:
            for name in list(fleet.hosts):
                await fleet.stop(name)

    loop.run_until_complete(run())


def on_disk(tmp_path, name):
    return b"turns/1" in b"".join(p.read_bytes() for p in (tmp_path / name).glob("*"))


def test_kept_record_is_on_two_disks_in_two_data_centres(loop, tmp_path):
    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert sum(on_disk(tmp_path, name) for name in DATA_CENTRES) == 2
        assert on_disk(tmp_path, "r1")
        assert await fleet.client.fetch("turns/1") == b"hello"

    run_scenario(loop, tmp_path, body)


@pytest.mark.parametrize("kept", sorted(DATA_CENTRES))
def test_a_record_outlives_two_hosts_where_two_may_be_lost(loop, tmp_path, kept):
    async def body(fleet):
        fleet.store.faults = StoreFaults(down=True)
        await fleet.client.keep("turns/1", b"hello", 65.0)
        for lost in DATA_CENTRES.keys() - {kept}:
            await fleet.stop(lost)
        assert await fleet.client.fetch("turns/1") == b"hello"

    run_scenario(loop, tmp_path, body, cfg=CFG._replace(lost_hosts=2))


def test_all_partners_are_notified_that_a_record_is_stored(loop, tmp_path):
    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        await asyncio.sleep(CFG.store_after_s + 0.5)
        assert fleet.state.get("turns/1") is not None
        assert all(len(host._pending) == 0 for host in fleet.hosts.values())

    run_scenario(loop, tmp_path, body, cfg=CFG._replace(lost_hosts=2))


def test_a_record_from_before_it_had_to_stay_at_its_host_is_found(loop, tmp_path):
    """Guards against lost programs as their route or team is bound to a region."""

    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert fleet.state.get("turns/1") is None
        assert await fleet.client.fetch("turns/1", in_store_only=True) == b"hello"

    run_scenario(loop, tmp_path, body)


def test_with_fewer_hosts_than_copies_the_record_goes_to_the_store(loop, tmp_path):
    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert fleet.state.get("turns/1").value == b"hello"

    run_scenario(
        loop, tmp_path, body, hosts=("r1", "r2"), cfg=CFG._replace(lost_hosts=2)
    )


def test_records_reach_the_store_once_in_a_batch(loop, tmp_path):
    async def body(fleet):
        for n in range(20):
            await fleet.client.keep(f"turns/{n}", b"hello", 65.0)
        before = fleet.state.revision
        await asyncio.sleep(CFG.partner_after_s + 1.0)
        assert all(fleet.state.get(f"turns/{n}") for n in range(20))
        assert fleet.state.revision - before <= 21
        assert all(len(host._pending) == 0 for host in fleet.hosts.values())

    run_scenario(loop, tmp_path, body)


@pytest.mark.parametrize("lost", sorted(DATA_CENTRES))
def test_a_record_outlives_any_one_host_with_its_disk(loop, tmp_path, lost):
    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        await fleet.stop(lost)
        fleet.client._hosts.pop(lost)
        assert await fleet.client.fetch("turns/1") == b"hello"

    run_scenario(loop, tmp_path, body)


def test_all_hosts_killed_at_once_have_the_record_afterwards(loop, tmp_path):
    async def body(fleet):
        fleet.store.faults = StoreFaults(down=True)
        await fleet.client.keep("turns/1", b"hello", 65.0)
        for name in DATA_CENTRES:
            await fleet.stop(name)
        fleet.store.faults = StoreFaults()
        for name in DATA_CENTRES:
            await fleet.start(name)
        assert await fleet.client.fetch("turns/1") == b"hello"
        await asyncio.sleep(1.0)
        assert fleet.state.get("turns/1") is not None

    run_scenario(loop, tmp_path, body)


def test_without_record_hosts_the_record_goes_to_the_store(loop, tmp_path):
    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert fleet.state.get("turns/1").value == b"hello"

    run_scenario(loop, tmp_path, body, hosts=())


@pytest.mark.parametrize("second", ["host", "store", "helper"])
def test_a_record_on_one_disk_is_kept_once_it_has_a_second_place(
    loop, tmp_path, second
):
    """LOST: turns on one disk were answered whole, and lost with that disk."""

    async def body(fleet):
        fleet.store.faults = StoreFaults(down=True)
        keeping = asyncio.create_task(fleet.client.keep("turns/1", b"hello", 65.0))
        await asyncio.sleep(STORE_PATIENCE_S)
        assert on_disk(tmp_path, "r1")
        assert not keeping.done()
        await fleet.add_place(second)
        fleet.send_heartbeats("r1")
        async with asyncio.timeout(STORE_PATIENCE_S):
            await keeping
        await fleet.stop("r1")
        fleet.client._hosts.pop("r1")
        fleet.store.faults = StoreFaults()
        assert await fleet.client.fetch("turns/1") == b"hello"

    run_scenario(loop, tmp_path, body, hosts=("r1",))


@pytest.mark.parametrize(
    ("hosts", "isolated", "in_store_only", "possible"),
    [
        (("r1",), True, False, False),
        (("r1", "r2"), True, False, True),
        (("r1", "r2"), True, True, False),
        (("r1",), False, False, True),
        ((), False, True, True),
    ],
)
def test_an_isolated_host_knows_that_no_second_copy_can_be_made(
    loop, tmp_path, hosts, isolated, in_store_only, possible
):
    """Guards against turns that run although their end can't be delivered."""

    async def body(fleet):
        fleet.is_isolated = isolated
        assert fleet.client.can_keep(in_store_only) is possible

    run_scenario(loop, tmp_path, body, hosts=hosts)


def test_a_host_that_accepts_no_records_makes_no_second_copy(loop, tmp_path):
    async def body(fleet):
        fleet.is_isolated = True
        fleet.hosts["r2"].accepts = False
        await asyncio.sleep(CFG.here_interval_s)
        fleet.send_heartbeats("r1", "r2")
        assert not fleet.client.can_keep()

    run_scenario(loop, tmp_path, body, hosts=("r1", "r2"))


def test_absence_is_certain_only_after_all_hosts_answered(loop, tmp_path):
    async def body(fleet):
        assert await fleet.client.fetch("turns/none") is None
        await fleet.stop("r2")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.0):
                await fleet.client.fetch("turns/none")

    run_scenario(loop, tmp_path, body)


def test_absence_is_not_certain_while_the_host_list_may_be_incomplete(loop, tmp_path):
    async def body(fleet):
        fleet.list_is_complete = False
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.0):
                await fleet.client.fetch("turns/none")

    run_scenario(loop, tmp_path, body)


def test_record_hosts_whose_entries_expired_are_still_asked(loop, tmp_path):
    async def body(fleet):
        fleet.store.faults = StoreFaults(down=True)
        await fleet.client.keep("turns/1", b"hello", 65.0)
        fleet.store.faults = StoreFaults()
        fleet.client._replica_hosts = lambda key: []
        fleet.client.set_hosts({})
        assert await fleet.client.fetch("turns/1") == b"hello"

    run_scenario(loop, tmp_path, body)


def test_absence_is_not_certain_without_the_store(loop, tmp_path):
    async def body(fleet):
        fleet.store.faults = StoreFaults(down=True)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.0):
                await fleet.client.fetch("turns/none")

    run_scenario(loop, tmp_path, body)


def test_failed_disk_write_falls_back_to_others(loop, tmp_path):
    async def body(fleet):
        def refuse(records):
            raise OSError(28, "No space left on device")

        fleet.hosts["r1"]._journal.append = refuse
        await fleet.client.keep("turns/1", b"hello", 65.0)
        held = on_disk(tmp_path, "r2") and on_disk(tmp_path, "r3")
        assert held or fleet.state.get("turns/1") is not None

    run_scenario(loop, tmp_path, body)


@pytest.mark.parametrize("delay_s", [0.1, 0.3, 0.45])
def test_a_slow_store_keeps_a_record_that_no_host_keeps(loop, tmp_path, delay_s):
    async def body(fleet):
        fleet.store.faults = StoreFaults(delay_s=delay_s)
        async with asyncio.timeout(STORE_PATIENCE_S):
            await fleet.client.keep("turns/1", b"hello", 65.0)
        assert fleet.state.get("turns/1").value == b"hello"

    run_scenario(loop, tmp_path, body, hosts=())


@pytest.mark.parametrize("sync_s", [0.3, 0.5, 0.9, 1.5])
@pytest.mark.parametrize(
    "store", [StoreFaults(down=True), StoreFaults(delay_s=1.0)], ids=["down", "slow"]
)
def test_hosts_that_sync_late_keep_a_record(loop, tmp_path, sync_s, store):
    """LOST: late replies were dropped, and each attempt failed like the first."""

    async def body(fleet):
        fleet.store.faults = store
        for name in DATA_CENTRES:
            fleet.slow_sync(name, sync_s)
        async with asyncio.timeout(STORE_PATIENCE_S):
            await fleet.client.keep("turns/1", b"hello", 65.0)
        assert sum(on_disk(tmp_path, name) for name in DATA_CENTRES) >= 2

    run_scenario(loop, tmp_path, body)


@pytest.mark.parametrize("slow", sorted(DATA_CENTRES))
def test_a_third_host_is_asked_when_one_of_two_is_late(loop, tmp_path, slow):
    async def body(fleet):
        fleet.slow_sync(slow, 1.5)
        started_at = loop.time()
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert loop.time() - started_at < 2 * CFG.call_s
        kept_on = {name for name in DATA_CENTRES if on_disk(tmp_path, name)}
        assert kept_on == DATA_CENTRES.keys() - {slow}

    run_scenario(loop, tmp_path, body)


def test_a_host_that_syncs_late_is_not_lost_but_gets_records_last(loop, tmp_path):
    async def body(fleet):
        fleet.slow_sync("r1", 1.5)
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert set(fleet.client.live_hosts()) == DATA_CENTRES.keys()
        started_at = loop.time()
        await fleet.client.keep("turns/2", b"hello", 65.0)
        assert loop.time() - started_at < CFG.call_s
        await asyncio.sleep(0.1)
        fleet.send_heartbeats("r1")
        assert "r1" in fleet.client._replica_hosts("turns/1")

    run_scenario(loop, tmp_path, body)


def test_a_host_without_replies_and_heartbeats_is_lost(loop, tmp_path):
    async def body(fleet):
        fleet.slow_sync("r1", 1.5)
        await asyncio.sleep(2.0 * CFG.silent_s)
        fleet.send_heartbeats("r1")
        await asyncio.sleep(2.5 * CFG.here_interval_s)
        fleet.send_heartbeats("r2", "r3")
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert set(fleet.client.live_hosts()) == {"r2", "r3"}

    run_scenario(loop, tmp_path, body)


def test_a_record_that_is_synced_in_time_costs_two_calls(loop, tmp_path):
    async def body(fleet):
        relay = fleet.network.hosts["relay"]
        before = sum(relay.sent.values())
        for name in DATA_CENTRES:
            fleet.slow_sync(name, 0.8 * CFG.call_s)
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert sum(relay.sent.values()) - before == 2
        assert fleet.state.revision == 0

    run_scenario(loop, tmp_path, body)


def test_a_late_store_call_is_not_repeated_while_it_is_under_way(loop, tmp_path):
    async def body(fleet):
        fleet.store.faults = StoreFaults(delay_s=0.4)
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert fleet.state.revision == 1

    run_scenario(loop, tmp_path, body, hosts=())


def test_the_log_names_hosts_that_are_late_and_copies_that_are_synced(
    loop, tmp_path, logged
):
    async def body(fleet):
        fleet.store.faults = StoreFaults(down=True)
        for name in DATA_CENTRES:
            fleet.slow_sync(name, 3.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(CFG.here_interval_s):
                await fleet.client.keep("turns/1", b"hello", 65.0)
        (line,) = (line for line in logged if line["event"] == "record not kept")
        assert sorted(line["asked"].values()) == ["asked", "late", "late"]

    run_scenario(loop, tmp_path, body)


def test_the_log_names_the_hosts_that_did_not_keep_a_record(loop, tmp_path, logged):
    async def body(fleet):
        fleet.store.faults = StoreFaults(down=True)
        for name in ("r1", "r2"):
            await fleet.stop(name)
        fleet.hosts["r3"].accepts = False
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(STORE_PATIENCE_S):
                await fleet.client.keep("turns/1", b"hello", 65.0)
        (line,) = (line for line in logged if line["event"] == "record not kept")
        assert line["key"] == "turns/1"
        assert line["asked"]["r3"] == "not synced"
        assert "not reached" in line["asked"].values()
        assert {"r1", "r2"} <= set(line["silent"])

    run_scenario(loop, tmp_path, body)


def test_emptied_host_has_stored_all_records_and_accepts_no_more(loop, tmp_path):
    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert await fleet.hosts["r1"].flush()
        assert fleet.state.get("turns/1") is not None
        fleet.send_heartbeats("r1")
        await fleet.client.keep("turns/2", b"again", 65.0)
        assert fleet.hosts["r1"]._pending.get("turns/2") is None

    run_scenario(loop, tmp_path, body)


def test_a_record_that_arrives_with_the_stop_does_not_block_the_host(loop, tmp_path):
    async def body(fleet):
        host = fleet.hosts["r1"]
        req = KeepRecord("turns/1", b"hello", 65.0, [], True)
        # Both run before the task that syncs.
        reply = asyncio.create_task(host._on_keep("relay", req))
        flushed = asyncio.create_task(host.flush())
        assert await flushed
        assert (await reply).synced
        assert fleet.state.get("turns/1") is not None

    run_scenario(loop, tmp_path, body)


def test_a_host_that_cannot_reach_the_store_is_not_empty(loop, tmp_path):
    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        fleet.store.faults = StoreFaults(down=True)
        assert not await fleet.hosts["r1"].flush()

    run_scenario(loop, tmp_path, body)


def client_without_hosts(fleet):
    """Returns the client of a new host that has no list of record hosts yet."""

    async def refresh_hosts():
        await fleet.store.list("hosts/")
        client.set_hosts(dict(fleet.client.hosts))

    client = RecordClient(
        CFG,
        "dc-1",
        fleet.store,
        LeasePool(fleet.store, fleet.loop.time),
        fleet.network.join("new", "dc-1"),
        refresh_hosts,
        now=fleet.loop.time,
    )
    return client


def test_absence_is_not_certain_before_the_host_list_is_read(loop, tmp_path):
    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        client = client_without_hosts(fleet)
        loop.call_later(1.0, client.set_hosts, dict(fleet.client.hosts))
        assert await client.fetch("turns/1") == b"hello"

    run_scenario(loop, tmp_path, body)


def test_host_list_that_arrives_during_a_fetch_is_not_enough(loop, tmp_path):
    """An existing record must not be reported as absent.

    In soak seeds 2, 4 and 5 the list of record hosts arrived during the read from the
    store, after too few hosts had been asked.
    """

    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        fleet.store.faults = StoreFaults(delay_s=0.2)
        client = client_without_hosts(fleet)
        loop.call_later(0.1, client.set_hosts, dict(fleet.client.hosts))
        assert await client.fetch("turns/1") == b"hello"

    run_scenario(loop, tmp_path, body)


def test_host_list_read_before_hosts_registered_is_not_enough(loop, tmp_path):
    """An existing record must not be reported as absent.

    In soak seed 1 under load all hosts started together: the list was read before the
    record hosts had registered, and the next read of it failed.
    """

    async def body(fleet):
        await fleet.client.keep("turns/1", b"hello", 65.0)
        client = client_without_hosts(fleet)
        client.set_hosts({})
        assert await client.fetch("turns/1") == b"hello"

    run_scenario(loop, tmp_path, body)


class UnreachableStore(LocalStore):
    """A store that cannot be reached: every operation fails."""

    async def _run(self, operation):
        await asyncio.sleep(0)
        raise StoreUnavailable("cut off")


def test_host_cut_off_from_store_and_record_hosts_uses_a_helper(loop, tmp_path):
    async def body(fleet):
        cut = UnreachableStore(fleet.state, loop.time)
        peers = fleet.network.join("cut", "dc-1")
        for name in DATA_CENTRES:
            for pair in (("cut", name), (name, "cut")):
                fleet.network.wire._cut.add(pair)
        client = RecordClient(
            CFG,
            "dc-1",
            cut,
            LeasePool(cut, loop.time),
            peers,
            fleet.refresh_hosts,
            lambda: ["relay"],
            loop.time,
        )
        client.set_hosts(dict(fleet.client.hosts))
        await client.keep("turns/1", b"hello", 65.0)
        assert sum(on_disk(tmp_path, name) for name in DATA_CENTRES) == 2
        assert await client.fetch("turns/1") == b"hello"
        assert await client.fetch("turns/none") is None

    run_scenario(loop, tmp_path, body)


# A record that the store does not accept, as hosts of an older version send it.
TOO_LARGE = b"x" * (MAX_VALUE_BYTES + 1)


def test_a_record_that_the_store_refuses_holds_up_no_other(loop, tmp_path):
    """Guards against turns that are lost since a larger one comes first (LOST)."""

    async def body(fleet):
        await fleet.client.keep("turns/large", TOO_LARGE, 65.0)
        for n in range(20):
            await fleet.client.keep(f"turns/{n}", b"hello", 65.0)
        await asyncio.sleep(2 * CFG.partner_after_s)
        assert all(fleet.state.get(f"turns/{n}") for n in range(20))
        assert await fleet.client.fetch("turns/large") == TOO_LARGE

    run_scenario(loop, tmp_path, body)


def test_a_stopping_host_does_not_wait_for_a_refused_record(loop, tmp_path):
    """It still counts as a holder, so that the record is not reported as absent."""

    async def body(fleet):
        await fleet.client.keep("turns/large", TOO_LARGE, 65.0)
        await fleet.client.keep("turns/1", b"hello", 65.0)
        for host in fleet.hosts.values():
            assert await host.flush()
        assert fleet.state.get("turns/1") is not None
        holders = [host for host in fleet.hosts.values() if not host.stored_all]
        assert len(holders) == CFG.copies

    run_scenario(loop, tmp_path, body)


def test_a_refused_record_leaves_the_disk_when_it_expires(loop, tmp_path):
    async def body(fleet):
        # Together they fill a segment, so the next record begins another one.
        await fleet.client.keep("turns/1", TOO_LARGE, 65.0)
        await fleet.client.keep("turns/2", TOO_LARGE, 65.0)
        await asyncio.sleep(10.0)
        assert on_disk(tmp_path, "r1")
        await asyncio.sleep(70.0)
        fleet.send_heartbeats(*fleet.hosts)
        await fleet.client.keep("turns/next", b"hello", 65.0)
        await asyncio.sleep(2 * CFG.partner_after_s)
        assert not on_disk(tmp_path, "r1")

    run_scenario(loop, tmp_path, body)


@pytest.mark.parametrize("retention_s", [10.0, 125.0, 200.0, 290.0, 400.0, 900.0])
def test_leases_are_no_longer_than_the_store_grants(loop, retention_s):
    async def scenario():
        state = KvState()
        pool = LeasePool(LocalStore(state, loop.time), loop.time)
        wanted_s = min(retention_s, MAX_RETENTION_S)
        for _ in range(40):
            lease = await pool.get(retention_s)
            assert state._deadline[lease] >= loop.time() + wanted_s
            await asyncio.sleep(17.0)

    loop.run_until_complete(scenario())


def fail_at(store, monkeypatch, key):
    """Makes the store's client fail at each write with a key."""
    put_many = store.put_many

    async def put_or_fail(puts):
        if any(put.key == key for put in puts):
            raise TypeError("unexpected")
        return await put_many(puts)

    monkeypatch.setattr(store, "put_many", put_or_fail)


def test_a_record_that_fails_unexpectedly_holds_up_no_other(
    loop, tmp_path, monkeypatch, logged
):
    """Guards against records that stay on disk only for one among them (FAULT)."""

    async def body(fleet):
        with monkeypatch.context() as patch:
            fail_at(fleet.store, patch, "turns/odd")
            await fleet.client.keep("turns/odd", b"hello", 65.0)
            for n in range(20):
                await fleet.client.keep(f"turns/{n}", b"hello", 65.0)
            await asyncio.sleep(2 * CFG.partner_after_s)
            assert all(fleet.state.get(f"turns/{n}") for n in range(20))
            assert await fleet.client.fetch("turns/odd") == b"hello"
        await asyncio.sleep(2 * POSTPONE_S)
        assert fleet.state.get("turns/odd") is not None

    run_scenario(loop, tmp_path, body)
    assert "records not written" in {line["event"] for line in logged}


def test_a_batch_that_cannot_be_synced_is_refused_at_once(loop, tmp_path, logged):
    """Guards against turns that wait for a host whose sync has failed (FAULT)."""

    async def body(fleet):
        def fail(records):
            raise MemoryError

        for name in ("r1", "r2"):
            fleet.hosts[name]._journal.append = fail
        began = loop.time()
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert loop.time() - began < STORE_PATIENCE_S / 2
        assert fleet.state.get("turns/1") is not None
        assert not any(fleet.hosts[name].crashed for name in fleet.hosts)

    run_scenario(loop, tmp_path, body)
    assert "journal not written" in {line["event"] for line in logged}


def test_a_host_whose_sync_is_down_refuses_records(loop, tmp_path, monkeypatch):
    async def fail(service):
        raise LookupError("unexpected")

    monkeypatch.setattr(RecordService._sync, "function", fail)

    async def body(fleet):
        await asyncio.sleep(0)
        assert not any(host.ready for host in fleet.hosts.values())
        began = loop.time()
        await fleet.client.keep("turns/1", b"hello", 65.0)
        assert loop.time() - began < STORE_PATIENCE_S / 2
        assert fleet.state.get("turns/1") is not None

    run_scenario(loop, tmp_path, body)
