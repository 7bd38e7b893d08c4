"""Entries and messages that another writer has left, and headers that make no sense."""

import contextlib
import json

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger
from magnoliaroad_platform.dialect import PlatformDialect
from magnoliaroad_platform.entry_decoder import PlatformEntryDecoder
from multidict import CIMultiDict, CIMultiDictProxy

from magnoliaroad.membership.record import unpack_record
from magnoliaroad.once.record import unpack_record as unpack_intent
from magnoliaroad.peers import MessageCatalogue, UnknownMessage
from magnoliaroad.quarantine.blocklist import unpack_entries
from magnoliaroad.relay.budget import unpack_budget
from magnoliaroad.relay.detour_messages import pack_headers, unpack_headers
from magnoliaroad.relay.dialect import BadCall
from magnoliaroad.relay.entry_decoder import BadEntry
from magnoliaroad.relay.escrow_role import unpack_holder
from magnoliaroad.relay.fleet_messages import Heartbeat
from magnoliaroad.relay.host_entry import PREFIX, HostEntry, unpack_host, unpack_hosts
from magnoliaroad.relay.turn import unpack_turn
from magnoliaroad.store import StoreEntry, WatchBatch
from tests.platform.deployment import Deployment
from tests.platform.kept_caller import KeptCaller
from tests.platform.raw_caller import request_bytes
from tests.platform.target_standin import TargetStandin

LEVELS = 20_000
NESTED = b'{"a":' * LEVELS + b"1" + b"}" * LEVELS
ENTRY = {
    "service": "lm",
    "address": "127.0.0.1:80",
    "zone": "dc-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "born": 1000,
}
ODD_FIELDS = {
    "deeply nested": b'"note":' + NESTED,
    "slots beyond 64 bits": b'"slots":' + b"9" * 30,
    "slots not finite": b'"slots":1e400',
    "negative slots": b'"slots":-1',
    "start beyond 64 bits": b'"born":' + b"9" * 30,
    "negative start": b'"born":-1',
    "port 0": b'"address":"127.0.0.1:0"',
    "port too large": b'"address":"127.0.0.1:70000"',
    "port negative": b'"address":"127.0.0.1:-1"',
    "port with underscores": b'"address":"127.0.0.1:8_0"',
    "port of 10,000 digits": b'"address":"127.0.0.1:' + b"9" * 10_000 + b'"',
    "NUL in the address": b'"address":"127.0.0.1\\u0000:80"',
    "host name": b'"address":"target.example:80"',
    "no address": b'"address":""',
    "unpaired surrogate": b'"service":"\\ud800"',
    "not UTF-8": b'"service":"\xff"',
    "wrong type": b'"service":[1]',
    "unknown state": b'"state":"resting"',
}
UNPACKERS = (
    unpack_host,
    unpack_turn,
    unpack_budget,
    unpack_holder,
    unpack_entries,
    unpack_record,
    unpack_intent,
)
anything = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text()
    | st.binary(max_size=40),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=12,
)


def as_json(value):
    return json.dumps(value, default=repr).encode()


def error_text(unpack, value):
    try:
        unpack(value)
    except ValueError as exc:
        return str(exc)
    return ""


def odd_entry(odd):
    whole = json.dumps(ENTRY).encode()
    return whole[:-1] + b"," + odd + b"}"


@pytest.mark.parametrize("name", ODD_FIELDS)
def test_an_odd_entry_of_a_target_is_refused(name):
    with pytest.raises(BadEntry) as caught:
        PlatformEntryDecoder().read_target("servers/i-1", odd_entry(ODD_FIELDS[name]))
    assert len(str(caught.value)) < 400


@pytest.mark.parametrize("value", [NESTED, b"[" * LEVELS, b"\xff", b"", b"[]"])
def test_odd_configurations_are_refused(value):
    with pytest.raises(BadEntry):
        PlatformEntryDecoder().read_plan("op/config", value)


def test_a_version_that_no_message_can_carry_is_refused():
    value = json.dumps({"version": 2**70}).encode()
    with pytest.raises(BadEntry, match="version"):
        PlatformEntryDecoder().read_plan("op/config", value)


@settings(max_examples=150, deadline=None)
@given(
    st.binary(max_size=80)
    | anything.map(lambda x: json.dumps(x, default=repr).encode())
)
def test_any_bytes_are_a_target_or_refused(value):
    with contextlib.suppress(BadEntry):
        PlatformEntryDecoder().read_target("servers/i-1", value)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=80) | anything.map(msgpack.packb))
def test_any_bytes_are_a_record_or_a_value_error(value):
    for unpack in UNPACKERS:
        assert len(error_text(unpack, value)) < 400


@pytest.mark.parametrize("unpack", UNPACKERS)
def test_deeply_nested_records_are_refused(unpack):
    for levels in (500, LEVELS):
        with pytest.raises(ValueError, match=r".*"):
            unpack(b"\x91" * levels + b"\x01")


@settings(max_examples=150, deadline=None)
@given(anything)
def test_any_fields_are_a_heartbeat_or_an_unknown_message(fields):
    catalogue = MessageCatalogue([Heartbeat])
    with contextlib.suppress(UnknownMessage):
        catalogue.unpack("Beat", fields)


def test_a_bad_entry_hides_no_other_host_and_is_logged_once():
    good = HostEntry("dc-1", "127.0.0.1", 80, True)
    entries = [
        StoreEntry(f"{PREFIX}bad-1", b"\x91" * 2000, 11),
        StoreEntry(f"{PREFIX}bad-2", good._replace(port=70_000).pack(), 12),
        StoreEntry(f"{PREFIX}good", good.pack(), 13),
    ]
    lines = []
    sink = logger.add(lambda line: lines.append(line.record), level="WARNING")
    for _ in range(3):
        assert unpack_hosts(WatchBatch(tuple(entries), (), 13)).hosts == {"good": good}
    logger.remove(sink)
    keys = [line["extra"]["key"] for line in lines]
    assert keys == [f"{PREFIX}bad-1", f"{PREFIX}bad-2"]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Magnoliaroad-Token-Budget", str(2**70)),
        ("Magnoliaroad-Token-Budget", "-1"),
        ("Magnoliaroad-Token-Count", f"1,{2**70}"),
        ("Magnoliaroad-Token-Count", "-1,1"),
        ("Magnoliaroad-Deadline-Ms", "nan"),
        ("Magnoliaroad-Deadline-Ms", "1e400"),
        ("Last-Event-Id", "9" * 40),
        ("Magnoliaroad-Previous-Turn", "\udcff"),
        ("Resumes", "\udcff"),
    ],
)
def test_a_header_that_no_message_can_carry_is_the_callers_error(name, value):
    headers = CIMultiDictProxy(CIMultiDict({"Host": "x", name: value}))
    with pytest.raises(BadCall, match=name):
        PlatformDialect().read_call("GET", "/x", headers, b"")


async def test_a_stream_whose_program_is_not_utf8_is_the_callers_error(tmp_path):
    """Messages to other hosts name it; those of plain calls do not."""
    target = TargetStandin("i-1", "lm")
    async with Deployment(tmp_path, target) as deployment:
        address = deployment.relays[0].cfg.listen.callers
        async with KeptCaller(address) as caller:
            headers = deployment.headers(Magnoliaroad_Program_Id="p-@")
            sent = request_bytes(headers, "/plan/x", "POST", body=b"m")
            await caller.send(sent.replace(b"p-@", b"p-\xff"))
            assert await caller.read_status() == 400
    assert target.runs == []


def test_headers_that_are_not_utf8_pass_a_peer_unchanged():
    headers = CIMultiDict([("X-Note", "caf\udce9"), ("Cookie", "a"), ("Cookie", "b")])
    assert unpack_headers(pack_headers(headers)) == headers


async def test_hosts_take_further_targets_beside_odd_entries(tmp_path):
    """LOST: the hosts that read the list stopped to follow it."""
    first, second = TargetStandin("i-1", "app"), TargetStandin("i-2", "app")
    async with Deployment(tmp_path, first, hosts=2) as deployment:
        for number, odd in enumerate(ODD_FIELDS.values()):
            deployment.kv.write_bytes(f"servers/odd-{number}", odd_entry(odd))
        deployment.kv.write_bytes("hosts/odd", b"\x91" * 2000)
        deployment.kv.write_bytes("op/config-odd", NESTED)
        await second.start()
        deployment.kv.write("servers/i-2", second.entry())
        await deployment.until(
            lambda: all("i-2" in relay.table.targets for relay in deployment.relays)
        )
        for relay in deployment.relays:
            assert set(relay.table.targets) == {"i-1", "i-2"}
            await relay.fleet.read_list()
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 200
        await second.stop()
