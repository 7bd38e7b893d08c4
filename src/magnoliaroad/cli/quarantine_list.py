"""``magnoliaroad quarantine list``: shows the fingerprints in quarantine."""

import time

from magnoliaroad.cli.store_command import EXIT_DONE, StoreCommand
from magnoliaroad.quarantine import Blocklist
from magnoliaroad.quarantine.stored_list import read_blocklist
from magnoliaroad.store import Store


class QuarantineListCommand(StoreCommand):
    """Prints one line for each fingerprint with an unexpired decision."""

    name = "quarantine list"
    description = "Show the requests that are kept from targets."

    async def handle_with_store(self, store: Store) -> int:
        """Prints the list."""
        blocklist, _ = await read_blocklist(store)
        self._print_entries(blocklist, time.time())
        return EXIT_DONE

    def _print_entries(self, blocklist: Blocklist, now: float) -> None:
        blocklist.expire(now)
        for entry in blocklist.all():
            left_s = round(entry.until - now)
            self.line(
                f"{entry.fingerprint} {entry.state.value}"
                f" route={entry.route} left_s={left_s}"
            )
