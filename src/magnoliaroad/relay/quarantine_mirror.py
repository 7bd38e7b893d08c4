"""Reads the decisions on requests that crash targets from the store."""

from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.quarantine.stored_list import LIST_KEY, deliver_stored_list
from magnoliaroad.relay.mirror import MirrorListener
from magnoliaroad.store import StoreEntry, WatchBatch


class QuarantineMirror(MirrorListener):
    """Passes each version of the stored list of decisions to the quarantine."""

    def __init__(self, quarantine: QuarantineService) -> None:
        self._quarantine = quarantine

    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Passes on the list in a snapshot of the prefix."""
        for entry in entries.values():
            self._pass_on(entry)

    def on_batch(self, batch: WatchBatch) -> None:
        """Passes on the list if the batch changed it."""
        for entry in batch.changed:
            self._pass_on(entry)

    def _pass_on(self, entry: StoreEntry) -> None:
        if entry.key == LIST_KEY:
            deliver_stored_list(entry.value, self._quarantine.merge_decisions)
