"""``magnoliaroad quarantine list``: shows requests that are kept from targets."""

import time

from magnoliaroad.cli.store_command import DONE, StoreCommand
from magnoliaroad.quarantine import Blocklist
from magnoliaroad.quarantine.stored_list import read_list
from magnoliaroad.store import Store


class QuarantineListCommand(StoreCommand):
    """Prints one line for each fingerprint with a decision in force."""

    name = "quarantine list"
    description = "Show the requests that are kept from targets."

    async def work(self, store: Store) -> int:
        """Prints the list."""
        blocklist, _ = await read_list(store)
        self._show(blocklist, time.time())
        return DONE

    def _show(self, blocklist: Blocklist, now: float) -> None:
        blocklist.expire(now)
        for entry in blocklist.all():
            left_s = round(entry.until - now)
            self.line(
                f"{entry.fingerprint} {entry.state.value}"
                f" route={entry.route} left_s={left_s}"
            )
