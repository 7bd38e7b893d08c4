"""The adapter's formats and store client; its wire names are used nowhere else."""

import json
import pathlib
import re

import pytest
from magnoliaroad_platform.entry_decoder import PlatformEntryDecoder
from magnoliaroad_platform.store import PlatformStore

from magnoliaroad.relay.entry_decoder import BadEntry
from magnoliaroad.relay.route_kind import RouteKind
from magnoliaroad.relay.target import TargetState
from magnoliaroad.store import (
    HistoryGone,
    LeaseLost,
    StoreConflict,
    StorePut,
    StoreRateLimited,
    StoreUnavailable,
)
from magnoliaroad.store.settings import StoreSettings
from magnoliaroad.verdict import Verdict
from tests.platform.deployment import config
from tests.platform.kv_standin import KvStandin

ROOT = pathlib.Path(__file__).parents[2]
DECODER = PlatformEntryDecoder()


def test_a_configuration_is_decoded():
    plan = DECODER.read_plan("op/config", json.dumps(config()).encode())
    chat = plan.find_route("arcade.example", "/stream/x")
    assert (chat.kind, chat.keeps_turns, chat.attempts) == (RouteKind.STREAM, True, 2)
    assert chat.timeout_s == 2.0
    assert plan.services["lm"].tokens_per_event == 10
    assert plan.teams["league"].rate == 500
    assert plan.teams["other"].rate == 0


def test_other_keys_hold_no_configuration():
    assert DECODER.read_plan("op/other", b"{}") is None
    assert DECODER.read_retirement("op/config") is None
    assert DECODER.read_retirement("op/retire/h").host == "h"


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b"{}",
        b'{"service":"a","address":"10.0.0.1:80","state":"asleep"}',
        b'{"service":1,"address":"10.0.0.1:80","state":"ready"}',
        b'{"service":"a","address":"10.0.0.1","state":"ready"}',
        b'{"service":"a","address":"10.0.0.1:99999","state":"ready"}',
        b'{"service":"a","address":"10.0.0.1:80","state":"ready","slots":"many"}',
    ],
)
def test_an_entry_that_cannot_be_decoded_is_reported_with_its_key(value):
    with pytest.raises(BadEntry, match="servers/i-1"):
        DECODER.read_target("servers/i-1", value)


def test_a_target_is_decoded():
    value = json.dumps(
        {"service": "a", "address": "10.0.0.1:80", "state": "draining", "born": 5}
    ).encode()
    target = DECODER.read_target("servers/i-1", value)
    assert (target.name, target.state) == ("i-1", TargetState.DRAINING)
    assert target.started_ms == 5


@pytest.fixture
async def kv():
    standin = await KvStandin().start()
    yield standin
    await standin.stop()


@pytest.fixture
def timeout_s():
    """Store timeout above any pause of this process, which runs the stand-in too."""
    return 20.0


@pytest.fixture
async def store(kv, timeout_s):
    store = PlatformStore(StoreSettings(kv.url, timeout_s=timeout_s))
    yield store
    await store.close()


async def test_entries_are_written_under_conditions(store):
    revision = await store.put("a", b"1", expected=0)
    assert (await store.get("a")).value == b"1"
    assert await store.get("none") is None
    with pytest.raises(StoreConflict) as caught:
        await store.put("a", b"2", expected=0)
    assert caught.value.current.revision == revision
    with pytest.raises(StoreConflict) as caught:
        await store.put("none", b"2", expected=5)
    assert caught.value.current is None
    await store.delete("a", expected=revision)
    assert await store.get("a") is None


async def test_a_ping_is_a_stale_read(kv, store):
    await store.ping("none")
    await store.put("a", b"1")
    await store.ping("a")
    stale = [call for call in kv.calls if call.endswith(" stale")]
    assert stale == ["GET /-/kv-key stale"] * 2
    kv.fault = "busy"
    with pytest.raises(StoreUnavailable):
        await store.ping("a")


async def test_several_puts_are_written_together_or_not_at_all(store):
    first, second = await store.put_many(
        [StorePut("a", b"1", expected=0), StorePut("b", b"1")]
    )
    assert (await store.get("a")).revision <= first
    assert (await store.get("b")).revision <= second
    with pytest.raises(StoreConflict) as caught:
        await store.put_many([StorePut("c", b"1"), StorePut("a", b"2", expected=0)])
    assert [entry.key for entry in caught.value.entries] == ["a"]
    assert await store.get("c") is None
    assert (await store.get("a")).value == b"1"


async def test_a_list_returns_the_entries_of_all_pages(store):
    await store.put_many([StorePut(f"p/{n}", b"x") for n in range(40)])
    batch = await store.list("p/")
    assert {entry.key for entry in batch.changed} == {f"p/{n}" for n in range(40)}


async def test_a_watch_returns_what_changed(store):
    await store.put("w/a", b"1")
    after = (await store.list("w/")).revision
    await store.put("w/b", b"2")
    await store.delete("w/a")
    batch = await store.watch("w/", after, 0.2)
    assert [entry.key for entry in batch.changed] == ["w/b"]
    assert batch.deleted == ("w/a",)
    quiet = await store.watch("w/", batch.revision, 0.1)
    assert not quiet.changed
    assert not quiet.deleted


async def test_a_watch_of_dropped_history_raises(kv, store):
    kv.history_gone = True
    with pytest.raises(HistoryGone):
        await store.watch("w/", 1, 0.1)


async def test_the_end_of_a_lease_deletes_its_entries(store):
    lease = await store.grant_lease(60)
    await store.put("l/a", b"1", lease=lease)
    await store.renew_lease(lease)
    await store.revoke_lease(lease)
    assert await store.get("l/a") is None
    with pytest.raises(LeaseLost):
        await store.renew_lease(lease)
    with pytest.raises(LeaseLost):
        await store.put_many([StorePut("l/b", b"1", lease)])


@pytest.mark.parametrize(
    ("fault", "timeout_s", "error", "verdict"),
    [
        ("busy", 20.0, StoreUnavailable, Verdict.MAY_HAVE_RUN),
        ("many", 20.0, StoreRateLimited, Verdict.NOT_RUN),
        ("reset", 20.0, StoreUnavailable, Verdict.MAY_HAVE_RUN),
        ("silent", 0.3, StoreUnavailable, Verdict.MAY_HAVE_RUN),
        ("lost", 20.0, StoreUnavailable, Verdict.MAY_HAVE_RUN),
    ],
)
async def test_errors_state_whether_the_change_may_have_been_made(
    kv, store, fault, error, verdict
):
    kv.fault = fault
    with pytest.raises(error) as caught:
        await store.put("a", b"1")
    assert caught.value.verdict is verdict
    assert (kv.state.get("a") is not None) == (fault == "lost")


WIRE_NAMES = re.compile(
    r"Magnoliaroad-[A-Z]|kv-txn|kv-watch|kv-range|op/config|servers/|"
    r"MAGNOLIAROAD_NODE_FILE|path_prefix=|expected_rev|retention_ms|max_conns"
)


def test_wire_names_of_the_platform_occur_in_its_adapter_only():
    found = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in sorted((ROOT / "src").rglob("*.py"))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]
    assert found == []
