"""Follows the orders to evacuate data centres and spreads them over the hosts."""

import asyncio
import random
import time
from collections.abc import Callable, Collection, Iterable

from loguru import logger
from mode import Service

from magnoliaroad.background import background_task
from magnoliaroad.evacuation.messages import EvacuationNotice
from magnoliaroad.evacuation.metrics import NOTICES, OLDEST_AGE, ORDERS, QUIET_AFTER
from magnoliaroad.evacuation.orders import (
    UNKNOWN_REVISION,
    EvacuationChange,
    EvacuationOrders,
)
from magnoliaroad.event_wait import wait_for_event
from magnoliaroad.peers import Peers
from magnoliaroad.relay.entry_decoder import EntryDecoder
from magnoliaroad.relay.mirror import MirrorListener
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.store import StoreEntry, WatchBatch

# Time between two notices of a host to random peers, in seconds. Operators allow five
# seconds for an order, so that each host hears of it several times over.
NOTICE_INTERVAL_S = 1.0
# Time for which notices go on after the last order was withdrawn, in seconds: well
# above the time for which a host that lives may miss all notices.
WITHDRAWN_NOTICE_S = 60.0
# Time after its start in which a host reads the store, in seconds; then it asks peers.
STORE_READ_S = 0.5
# Time between two notices of a host that knows no state of the store, in seconds: until
# a peer answers it may send requests to evacuated data centres, and peers that have
# just started know no more.
UNREAD_INTERVAL_S = 0.25
# Time between checks for requests in flight at evacuated targets, in seconds.
CHECK_INTERVAL_S = 0.1


class EvacuationService(Service, MirrorListener):
    """Applies orders of operators to the choice of targets.

    Few hosts watch the store, so a host to which a change comes from there, or from
    another data centre, tells the hosts of its own. While there are orders, each host
    also sends them to a random peer from time to time, which answers if it knows newer
    ones. So hosts that start, or that lose the store, learn of orders and withdrawals.

    Args:
        decoder: Decodes the orders.
        table: The targets; its orders are those that this service keeps.
        peers: Connections between hosts.
        contacts: Returns the other relay hosts in contact.
        near_contacts: Returns those of this host's data centre.
        data_centres: All data centres of the installation; empty if they are unknown.
    """

    def __init__(
        self,
        decoder: EntryDecoder,
        table: TargetTable,
        peers: Peers,
        contacts: Callable[[], Collection[str]],
        near_contacts: Callable[[], Collection[str]],
        data_centres: Collection[str],
    ) -> None:
        super().__init__()
        self.orders: EvacuationOrders = table.evacuations
        self._decoder = decoder
        self._table = table
        self._peers = peers
        self._contacts = contacts
        self._near_contacts = near_contacts
        self._data_centres = data_centres
        # Data centres in which requests of this host may still be in flight, with the
        # time of the order.
        self._emptying: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._withdrawn_at = -WITHDRAWN_NOTICE_S
        peers.on(EvacuationNotice, self._on_notice)

    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Applies the orders among the operator's entries."""
        names = self._read_orders(entries.values())
        now = time.monotonic()
        change = self.orders.apply_snapshot(now, names, revision)
        self._apply(change, now, "store")
        self._notify_near(change)

    def on_batch(self, batch: WatchBatch) -> None:
        """Applies the orders that the operator has given or withdrawn."""
        ordered = self._read_orders(batch.changed)
        withdrawn = {
            name
            for key in batch.deleted
            if (name := self._decoder.read_evacuated_name(key)) is not None
        }
        now = time.monotonic()
        change = self.orders.apply_batch(now, ordered, withdrawn, batch.revision)
        self._apply(change, now, "store")
        self._notify_near(change)

    def _read_orders(self, entries: Iterable[StoreEntry]) -> set[str]:
        names = set()
        for entry in entries:
            name = self._decoder.read_evacuated_name(entry.key)
            if name is None:
                continue
            names.add(name)
            fault = self._decoder.find_evacuation_fault(entry.key, entry.value)
            if fault:
                # The key says all that is needed; to ignore the order would be worse.
                logger.bind(key=entry.key, reason=fault).warning(
                    "malformed evacuation order holds by its key"
                )
        return names

    def _on_notice(self, sender: str, notice: EvacuationNotice) -> None:
        if notice.revision < self.orders.revision:
            NOTICES.inc({"outcome": "older"})
            self._peers.send(sender, self._notice())
            return
        now = time.monotonic()
        change = self.orders.merge(now, notice.data_centres, notice.revision)
        NOTICES.inc({"outcome": "changed" if change else "known"})
        self._apply(change, now, sender)
        # Peers that send by chance alone leave some hosts out for many seconds.
        if change and sender not in self._near_contacts():
            self._notify_near(change)

    def _notify_near(self, change: EvacuationChange) -> None:
        """Sends a change to the hosts of this data centre."""
        if change:
            self._peers.send_all(self._near_contacts(), self._notice())

    def _notice(self) -> EvacuationNotice:
        return EvacuationNotice(self.orders.revision, self.orders.data_centres)

    def _apply(self, change: EvacuationChange, now: float, source: str) -> None:
        if not change:
            return
        for name in sorted(change.ordered):
            self._emptying[name] = now
            logger.bind(
                data_centre=name,
                revision=self.orders.revision,
                source=source,
                in_flight=self._in_flight(name),
            ).info("evacuation ordered")
        for name in sorted(change.withdrawn):
            self._emptying.pop(name, None)
            logger.bind(
                data_centre=name, revision=self.orders.revision, source=source
            ).info("evacuation withdrawn")
        if not self.orders:
            self._withdrawn_at = now
        self._report_unusual(change)
        self._changed.set()

    def _report_unusual(self, change: EvacuationChange) -> None:
        """Logs orders that name an unknown data centre, or leave none."""
        used = {target.data_centre for target in self._table.targets.values()}
        known = used.union(self._data_centres)
        for name in sorted(change.ordered - known) if known else ():
            logger.bind(data_centre=name, known=sorted(known)).warning(
                "evacuation of an unknown data centre"
            )
        if change.ordered and used and used.issubset(self.orders.data_centres):
            logger.bind(data_centres=self.orders.data_centres).error(
                "all data centres with targets are evacuated"
            )

    def _in_flight(self, data_centre: str) -> int:
        """Returns the requests of this host at the targets of a data centre."""
        targets = self._table.targets
        return sum(
            count
            for name, count in self._table.in_flight.items()
            if name in targets and targets[name].data_centre == data_centre
        )

    def check_emptied(self, now: float) -> None:
        """Records the data centres at whose targets no request is left."""
        for name, ordered_at in list(self._emptying.items()):
            if not self._in_flight(name):
                del self._emptying[name]
                QUIET_AFTER.observe({}, now - ordered_at)
                logger.bind(data_centre=name, after_s=round(now - ordered_at, 3)).info(
                    "data centre evacuated"
                )

    @background_task
    async def _watch_progress(self) -> None:
        while not self.should_stop:
            now = time.monotonic()
            self.check_emptied(now)
            ages = [self.orders.age_s(name, now) for name in self.orders.data_centres]
            ORDERS.set({}, len(ages))
            OLDEST_AGE.set({}, max(ages, default=0.0))
            if self.orders:
                await asyncio.sleep(CHECK_INTERVAL_S)
            else:
                await wait_for_event(self._changed, WITHDRAWN_NOTICE_S)
                self._changed.clear()

    @background_task
    async def _exchange_orders(self) -> None:
        await asyncio.sleep(STORE_READ_S)
        while not self.should_stop:
            if self._must_exchange(time.monotonic()):
                contacts = list(self._contacts())
                if contacts:
                    self._peers.send(random.choice(contacts), self._notice())
            never_read = self.orders.revision == UNKNOWN_REVISION
            interval_s = UNREAD_INTERVAL_S if never_read else NOTICE_INTERVAL_S
            # Jitter, so that hosts informed at the same time do not all send at once.
            await asyncio.sleep(interval_s * random.uniform(0.5, 1.5))

    def _must_exchange(self, now: float) -> bool:
        """Whether peers may know other orders, or lack those of this host."""
        recently_withdrawn = now - self._withdrawn_at < WITHDRAWN_NOTICE_S
        never_read = self.orders.revision == UNKNOWN_REVISION
        return bool(self.orders) or recently_withdrawn or never_read
