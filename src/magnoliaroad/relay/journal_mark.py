"""Marks record hosts whose journals may hold records that the store lacks."""

from collections.abc import Callable

from loguru import logger
from typing_extensions import override

from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.relay.host_entry import MARK_SUFFIX, PREFIX, HostEntry
from magnoliaroad.relay.leased_entry import LeasedEntry
from magnoliaroad.store import Store


class JournalMark(LeasedEntry):
    """Stands in the store beside the host's entry, and longer.

    While the host is down, a record that no other host has may be in its journal. The
    mark of a host that does not come back expires. Its value is the host's entry:
    older builds take the mark for a record host and would fail on anything else.

    Args:
        store: The store.
        cfg: Time to live of the mark.
        name: Name of the host.
        entry: Its entry.
        stored_all: Returns whether the store holds all records of the journal.
    """

    def __init__(
        self,
        store: Store,
        cfg: RecordSettings,
        name: str,
        entry: HostEntry,
        stored_all: Callable[[], bool],
    ) -> None:
        super().__init__(store, cfg.mark_s, PREFIX + name + MARK_SUFFIX, entry.pack())
        self._stored_all = stored_all

    @override
    async def on_stop(self) -> None:
        """Removes the mark if the store holds all records."""
        if self._stored_all():
            await super().on_stop()
        else:
            logger.bind(key=self._key).info("mark of unstored records left in store")
