"""The tags of messages on the wire."""

import asyncio
from typing import NamedTuple

import pytest

from magnoliaroad.peers import (
    MessageCatalogue,
    PeerAddress,
    PeerService,
    UnknownMessage,
    message_tag,
)
from magnoliaroad.peers.settings import PeerSettings


class Plain(NamedTuple):
    number: int


class Renamed(NamedTuple):
    TAG = "OldName"

    number: int
    text: str = ""


class OtherRenamed(NamedTuple):
    TAG = "OldName"

    number: int


class TaggedAsPlain(NamedTuple):
    TAG = "Plain"

    number: int


class FieldTag(NamedTuple):
    TAG: str = "NoTag"


def test_a_renamed_type_keeps_its_tag():
    catalogue = MessageCatalogue([Renamed])
    tag, fields = catalogue.pack(Renamed(3, "x"))
    assert (tag, tuple(fields)) == ("OldName", (3, "x"))
    message = catalogue.unpack("OldName", [3, "x"])
    assert type(message) is Renamed
    assert message == Renamed(3, "x")
    with pytest.raises(UnknownMessage):
        catalogue.unpack("Renamed", [3, "x"])


@pytest.mark.parametrize(
    ("first", "second", "tag"),
    [
        (Renamed, OtherRenamed, "OldName"),
        (Plain, TaggedAsPlain, "Plain"),
        (TaggedAsPlain, Plain, "Plain"),
    ],
)
def test_two_types_with_one_tag_are_refused(first, second, tag):
    catalogue = MessageCatalogue([first])
    with pytest.raises(ValueError, match=tag):
        catalogue.add(second)
    assert type(catalogue.unpack(tag, [1])) is first


def test_the_same_type_can_be_added_twice():
    catalogue = MessageCatalogue([Renamed, Renamed])
    assert catalogue.unpack("OldName", [1]) == Renamed(1)


def test_a_type_without_a_tag_uses_its_name():
    catalogue = MessageCatalogue([Plain])
    assert catalogue.pack(Plain(1))[0] == "Plain"
    assert catalogue.unpack("Plain", [1]) == Plain(1)


def test_a_field_named_tag_is_no_tag():
    assert message_tag(FieldTag) == "FieldTag"
    catalogue = MessageCatalogue([FieldTag])
    assert catalogue.pack(FieldTag("Plain"))[0] == "FieldTag"
    assert catalogue.unpack("FieldTag", ["Plain"]) == FieldTag("Plain")


async def test_a_plain_handler_gets_a_renamed_message():
    got = asyncio.get_running_loop().create_future()
    a, b = (PeerService(PeerSettings(), n, "127.0.0.1", 0) for n in ("a", "b"))
    b.on(Renamed, lambda sender, message: got.set_result(message))
    async with a, b:
        a.set_addresses([PeerAddress("b", "", "127.0.0.1", b.port)])
        a.send("b", Renamed(3))
        assert await asyncio.wait_for(got, 5.0) == Renamed(3)
