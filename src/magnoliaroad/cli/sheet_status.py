"""``magnoliaroad sheet status``: shows the accepted revision and its rollout."""

from cleo.helpers import option

from magnoliaroad.cli.sheet_history import describe_change
from magnoliaroad.cli.store_command import (
    EXIT_DONE,
    EXIT_NOT_EVERYWHERE,
    EXIT_NOTHING_CHANGED,
    StoreCommand,
)
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.operators import ask_hosts, list_hosts
from magnoliaroad.store import Store


class SheetStatusCommand(StoreCommand):
    """Shows the accepted revision and the revision in force on each live host."""

    name = "sheet status"
    description = "Show the accepted revision and where it is in force."
    options = [
        *StoreCommand.options,
        option(
            "operation", None, "Say whether this operation took effect.", flag=False
        ),
    ]

    async def handle_with_store(self, store: Store) -> int:
        """Prints the status; returns 4 if a live host does not serve the revision."""
        head = await Publisher(store).read_head()
        operation = self.option("operation")
        if operation and not head.has_operation(operation):
            self.line(f"operation {operation} is not among the last changes")
            return EXIT_NOTHING_CHANGED
        if operation:
            self.line(f"operation {operation} took effect")
        self.line(f"revision {head.revision} is accepted, {len(head.parts)} parts")
        if head.changes:
            self.line(describe_change(head.changes[-1]))
        states = await ask_hosts(await list_hosts(store))
        return (
            EXIT_DONE if self.show_hosts(states, head.revision) else EXIT_NOT_EVERYWHERE
        )
