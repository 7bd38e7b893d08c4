"""``magnoliaroad sheet history``: shows recent configuration changes."""

import datetime

from magnoliaroad.cli.store_command import EXIT_DONE, StoreCommand
from magnoliaroad.config import Change
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.store import Store


class SheetHistoryCommand(StoreCommand):
    """Shows author, time and summary of each recent change, newest first."""

    name = "sheet history"
    description = "Show the last changes of the configuration."

    async def handle_with_store(self, store: Store) -> int:
        """Prints a line for each change in the stored history."""
        head = await Publisher(store).read_head()
        for change in reversed(head.changes):
            self.line(describe_change(change))
        return EXIT_DONE


def describe_change(change: Change) -> str:
    """Returns a one-line description of ``change``."""
    at = datetime.datetime.fromtimestamp(change.at, datetime.UTC)
    time = at.strftime("%Y-%m-%d %H:%M:%S UTC")
    return f"  {change.revision}: {time}, {change.author}: {change.summary}"
