"""``magnoliaroad quarantine clear``: releases a request from quarantine."""

import time

from cleo.helpers import argument

from magnoliaroad.cli.store_command import EXIT_DONE, StoreCommand
from magnoliaroad.quarantine import QuarantineSettings
from magnoliaroad.quarantine.entry import cleared
from magnoliaroad.quarantine.stored_list import save_entries
from magnoliaroad.store import Store


class QuarantineClearCommand(StoreCommand):
    """Ends the quarantine of a fingerprint on all hosts."""

    name = "quarantine clear"
    description = "Let a request go to targets again."
    arguments = [argument("fingerprint", "Fingerprint from the list.")]

    async def handle_with_store(self, store: Store) -> int:
        """Clears the fingerprint in the store, which hosts watch."""
        now = time.time()
        block_s = QuarantineSettings().block_s
        entry = cleared(self.argument("fingerprint"), now, block_s)
        await save_entries(store, [entry], now)
        self.line("cleared; hosts follow within seconds")
        return EXIT_DONE
