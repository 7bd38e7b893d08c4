"""``magnoliaroad sheet history``: the last changes."""

import datetime

from magnoliaroad.cli.store_command import EXIT_DONE, StoreCommand
from magnoliaroad.config import Change
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.store import Store


class SheetHistoryCommand(StoreCommand):
    """Shows who changed the configuration, when and what, the newest first."""

    name = "sheet history"
    description = "Show the last changes of the configuration."

    async def handle_with_store(self, store: Store) -> int:
        """Prints a line for each change that is kept."""
        head = await Publisher(store).read_head()
        for change in reversed(head.changes):
            self.line(describe_change(change))
        return EXIT_DONE


def describe_change(change: Change) -> str:
    """Returns one line on ``change``."""
    at = datetime.datetime.fromtimestamp(change.at, datetime.UTC)
    time = at.strftime("%Y-%m-%d %H:%M:%S UTC")
    return f"  {change.revision}: {time}, {change.author}: {change.summary}"
