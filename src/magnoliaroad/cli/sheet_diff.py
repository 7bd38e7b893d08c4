"""``magnoliaroad sheet diff``: shows what applying a sheet would change."""

import pathlib

from cleo.helpers import argument

from magnoliaroad.cli.store_command import EXIT_DONE, StoreCommand
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.operators import SheetApplier
from magnoliaroad.sheet import read_sheet
from magnoliaroad.store import Store


class SheetDiffCommand(StoreCommand):
    """Compares a sheet with the accepted configuration; changes nothing."""

    name = "sheet diff"
    description = "Say what applying a sheet would change."
    arguments = [argument("sheet", "CSV file with the sheet.")]

    async def handle_with_store(self, store: Store) -> int:
        """Prints the changes and the revision that they are based on."""
        sheet = read_sheet(pathlib.Path(self.argument("sheet")).read_bytes())
        plan, accepted = await SheetApplier(Publisher(store)).plan(sheet)
        for change in plan.changes:
            self.line(str(change))
        for note in plan.notes:
            self.line(f"note: {note}")
        count, revision = len(plan.changes), accepted.head.revision
        self.line(f"{count} changes against revision {revision} (--base={revision})")
        return EXIT_DONE
