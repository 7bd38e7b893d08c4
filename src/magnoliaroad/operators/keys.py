"""Grants and withdraws keys."""

import asyncio
from typing import NamedTuple

from magnoliaroad.config import Config, GrantOrigin, KeyGrant
from magnoliaroad.config.accepted import Accepted
from magnoliaroad.config.publish import new_operation
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.keys import digest_key, fingerprint, new_key
from magnoliaroad.keys.stored import add_withdrawal
from magnoliaroad.store import Store, StoreConflict, StoreError

MAX_ATTEMPTS = 5
RETRY_PAUSE_S = 0.2


class KeyNameError(ValueError):
    """A key or team that cannot be granted or found by that name."""


class GrantedKey(NamedTuple):
    """A new key.

    Attributes:
        key: The key itself, which is kept nowhere.
        accepted: The configuration that grants it.
    """

    key: str
    accepted: Accepted


async def grant_key(publisher: Publisher, name: str, team: str) -> GrantedKey:
    """Grants a new key to ``team``; edits of others in between are kept.

    Raises:
        KeyNameError: The name is taken or there is no such team.
        StoreError: Its verdict says whether the change may take effect.
    """
    key = new_key()
    grant = KeyGrant(name, team, digest_key(key), GrantOrigin.COMMAND)
    operation = new_operation()
    for attempt in range(MAX_ATTEMPTS):
        base = await publisher.read()
        config = _add_grant(base.config, grant)
        try:
            return GrantedKey(key, await publisher.write(base, config, operation))
        except StoreConflict:
            if attempt == MAX_ATTEMPTS - 1:
                raise
    raise AssertionError("unreachable")


def find_digest(config: Config, name: str) -> str:
    """Returns the digest of the key called ``name``.

    Raises:
        KeyNameError: There is no such key.
    """
    for digest, grant in config.grants.items():
        if grant.key_id == name:
            return digest
    raise KeyNameError(f"no key {name!r} at revision {config.revision}")


async def withdraw_key(store: Store, digest: str) -> bool:
    """Adds a key to the store's withdrawn ones; returns whether it is there.

    Hosts write a withdrawal that they were told of to the store when it returns,
    so ``False`` is not the end of it.
    """
    for _ in range(MAX_ATTEMPTS):
        try:
            await add_withdrawal(store, fingerprint(digest))
            return True
        except StoreError:
            await asyncio.sleep(RETRY_PAUSE_S)
    return False


def _add_grant(config: Config, grant: KeyGrant) -> Config:
    if grant.team not in config.teams:
        raise KeyNameError(f"no team {grant.team!r} at revision {config.revision}")
    if any(other.key_id == grant.key_id for other in config.grants.values()):
        raise KeyNameError(f"the name {grant.key_id!r} is taken by another key")
    return config._replace(grants=config.grants | {grant.digest: grant})
