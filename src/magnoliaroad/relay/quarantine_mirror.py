"""Takes over the decisions on requests that crash targets from the store."""

from magnoliaroad.quarantine import QuarantineService
from magnoliaroad.quarantine.stored_list import LIST_KEY, take_value
from magnoliaroad.relay.mirror import MirrorListener
from magnoliaroad.store import StoreEntry, WatchBatch


class QuarantineMirror(MirrorListener):
    """Passes what the store's list says to the quarantine."""

    def __init__(self, quarantine: QuarantineService) -> None:
        self._quarantine = quarantine

    def on_snapshot(
        self, entries: dict[str, StoreEntry], revision: int, after_loss: bool
    ) -> None:
        """Takes the whole list."""
        for entry in entries.values():
            self._pass_on(entry)

    def on_batch(self, batch: WatchBatch) -> None:
        """Takes a list that was changed."""
        for entry in batch.changed:
            self._pass_on(entry)

    def _pass_on(self, entry: StoreEntry) -> None:
        if entry.key == LIST_KEY:
            take_value(entry.value, self._quarantine.take)
