"""Grants tokens of programs' budgets while the store cannot be reached."""

import asyncio
import pathlib
import time
from collections.abc import Awaitable, Callable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.peers import Peers
from magnoliaroad.relay.escrow_disk import DiskIdentity, EscrowDisk
from magnoliaroad.relay.escrow_ledger import EscrowLedger
from magnoliaroad.relay.escrow_messages import EscrowReply, EscrowRequest
from magnoliaroad.relay.escrow_role import (
    EscrowHolder,
    EscrowRole,
    unpack_holder,
)
from magnoliaroad.relay.metrics import ESCROW_REQUESTS
from magnoliaroad.relay.settings import RelaySettings
from magnoliaroad.store import Store, StoreError

PREFIX = "escrow/"
# Time between two reads of the store's entry, in seconds.
CHECK_INTERVAL_S = 30.0
# Wait after a failed read or write of it, in seconds.
RETRY_S = 0.5


class EscrowService(Service):
    """Serves requests for the tokens of its data centre's part of budgets.

    Args:
        cfg: Settings of the host.
        folder: Folder of its files.
        store: The store, which names the escrow host of each data centre.
        peers: Connections between hosts.
        list_hosts: Returns the names of the hosts with an entry in the store.
        now: Clock in seconds.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        folder: pathlib.Path,
        store: Store,
        peers: Peers,
        list_hosts: Callable[[], Awaitable[set[str]]],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self._store = store
        self._list_hosts = list_hosts
        self._now = now
        self._disk = EscrowDisk(folder)
        self._ledger = EscrowLedger(len(cfg.data_centres))
        self._role: EscrowRole | None = None
        self._unsynced: dict[str, asyncio.Future[bool]] = {}
        peers.on(EscrowRequest, self._on_request, EscrowReply)

    async def on_start(self) -> None:
        """Recovers the grants that an earlier run left on disk."""
        now = self._now()
        for program, total in self._disk.recover().items():
            self._ledger.restore(now, program, total)
        identity = self._disk.load_identity()
        holder = EscrowHolder(self._cfg.name, identity.disk)
        first_start = self._cfg.first_start
        self._role = EscrowRole(holder, first_start, identity.settled)
        logger.bind(
            programs=len(self._ledger), disk=identity.disk, settled=identity.settled
        ).info("escrow recovered")

    async def on_stop(self) -> None:
        """Closes the files."""
        self._disk.close()

    @background_task
    async def _watch_role(self) -> None:
        if self._cfg.data_centre not in self._cfg.data_centres:
            return
        while not self.should_stop:
            try:
                await self._check_role()
            except (StoreError, OSError, ValueError) as exc:
                logger.bind(reason=repr(exc)).warning("escrow host not confirmed")
                await asyncio.sleep(RETRY_S)
                continue
            idle_s = self._cfg.turns.budget_retention_s
            self._disk.forget(self._ledger.remove_idle(self._now(), idle_s))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_role(self) -> None:
        """Reads which host grants for this data centre, and registers if none does.

        Raises:
            StoreError: The store did not answer, or another host was faster.
            OSError: The identity of the disk could not be written.
            ValueError: The store's entry is damaged.
        """
        role, key = self._role, PREFIX + self._cfg.data_centre
        before = self._now()
        entry = await self._store.get(key)
        named = None if entry is None else unpack_holder(entry.value)
        elsewhere = named is not None and named.host != self._cfg.name
        listed = await self._list_hosts() if elsewhere else set()
        settled = role.settled
        if role.check(before, named, listed):
            revision = 0 if entry is None else entry.revision
            await self._store.put(key, role.holder.pack(), revision)
            role.registered(before)
            logger.bind(key=key, replaced=named, settled=role.settled).info(
                "escrow host registered"
            )
        if role.settled != settled:
            self._disk.save_identity(DiskIdentity(role.holder.disk, role.settled))

    async def _on_request(self, sender: str, req: EscrowRequest) -> EscrowReply:
        if self._role is None or not self._role.may_grant(self._now()):
            ESCROW_REQUESTS.inc({"outcome": "not serving"})
            return EscrowReply(False, 0)
        granted = self._ledger.grant(self._now(), req)
        if granted and not await self._sync(req.program):
            granted = 0
        ESCROW_REQUESTS.inc({"outcome": "granted" if granted else "used up"})
        logger.bind(
            program=req.program, host=sender, needed=req.needed, granted=granted
        ).info("escrow granted" if granted else "escrow not granted")
        return EscrowReply(True, granted)

    async def _sync(self, program: str) -> bool:
        """Syncs a program's grants with those of the same moment."""
        fut = self._unsynced.get(program)
        if fut is None:
            loop = asyncio.get_running_loop()
            if not self._unsynced:
                loop.call_soon(self._sync_all)
            fut = self._unsynced[program] = loop.create_future()
        return await fut

    def _sync_all(self) -> None:
        waiting, self._unsynced = self._unsynced, {}
        synced = False
        try:
            totals = {program: self._ledger.total(program) for program in waiting}
            self._disk.save_grants(totals, self._cfg.turns.budget_retention_s)
        except OSError as exc:
            logger.bind(programs=len(waiting), reason=str(exc)).error(
                "escrow not written"
            )
        except Exception as exc:
            logger.bind(programs=len(waiting)).opt(exception=exc).error(
                "escrow not written"
            )
        else:
            synced = True
        for fut in waiting.values():
            if not fut.done():
                fut.set_result(synced)
