"""Helpers to change the configuration and to announce the change."""

import uuid
from collections.abc import Callable

from magnoliaroad.config.accepted import AcceptedConfig
from magnoliaroad.config.document import Config
from magnoliaroad.config.head import pack_head
from magnoliaroad.config.messages import ConfigPush
from magnoliaroad.config.part import split_config
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.store import Store

Edit = Callable[[Config], Config]

MAX_PUSH_BYTES = 4_000_000


async def publish(store: Store, edit: Edit, author: str = "") -> Config:
    """Applies ``edit`` to the accepted configuration as one new revision.

    Raises:
        StoreConflict: Another change was accepted in the meantime.
        StoreError: The change failed, or its outcome is unknown.
    """
    publisher = Publisher(store, author)
    base = await publisher.read()
    accepted = await publisher.write(base, edit(base.config), new_operation())
    return accepted.config


def pack_config_push(accepted: AcceptedConfig) -> ConfigPush:
    """Returns the message that pushes the accepted head to hosts.

    It includes the parts that the change wrote, unless they exceed
    ``MAX_PUSH_BYTES`` together.
    """
    base = accepted.head.revision - 1
    new = {ref.digest for ref in accepted.head.parts if ref.base == base}
    parts = [p.data for p in split_config(accepted.config) if p.digest in new]
    if sum(map(len, parts)) > MAX_PUSH_BYTES:
        parts = []
    return ConfigPush(pack_head(accepted.head), tuple(parts))


def new_operation() -> str:
    """Returns a unique id for an operator's command."""
    return uuid.uuid4().hex
