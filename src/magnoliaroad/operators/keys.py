"""Grants and withdraws keys."""

import asyncio
from typing import NamedTuple

from magnoliaroad.config import Config, GrantOrigin, KeyGrant
from magnoliaroad.config.accepted import AcceptedConfig
from magnoliaroad.config.publish import new_operation
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.keys import digest_key, fingerprint, new_key
from magnoliaroad.keys.withdrawal_store import add_withdrawal
from magnoliaroad.store import Store, StoreConflict, StoreError

MAX_ATTEMPTS = 5
RETRY_PAUSE_S = 0.2


class KeyNameError(ValueError):
    """There is no key or team of that name, or the name is already in use."""


class GrantedKey(NamedTuple):
    """A new key.

    Attributes:
        key: The key itself; only its digest is stored.
        accepted: The configuration that grants the key.
    """

    key: str
    accepted: AcceptedConfig


async def grant_key(publisher: Publisher, name: str, team: str) -> GrantedKey:
    """Grants a new key to ``team``.

    Retries after a concurrent change, so that no other change is lost.

    Raises:
        KeyNameError: The name is already in use or there is no such team.
        StoreError: The write failed; the error's verdict says whether the change
            may still take effect.
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
    """Returns the digest of the key with the public name ``name``.

    Raises:
        KeyNameError: There is no such key.
    """
    for digest, grant in config.grants.items():
        if grant.key_id == name:
            return digest
    raise KeyNameError(f"no key {name!r} at revision {config.revision}")


async def withdraw_key(store: Store, digest: str) -> bool:
    """Adds a key to the withdrawn keys in the store; returns whether that worked.

    A host that was notified of the withdrawal writes it to the store later, so it
    can still take effect after ``False``.
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
        raise KeyNameError(f"the name {grant.key_id!r} is already used by another key")
    return config._replace(grants=config.grants | {grant.digest: grant})
