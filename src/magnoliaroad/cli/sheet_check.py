"""``magnoliaroad sheet check``: validates a sheet."""

import pathlib

from cleo.commands.command import Command
from cleo.helpers import argument

from magnoliaroad.sheet import SheetError, read_sheet


class SheetCheckCommand(Command):
    """Lists all faults in a sheet, without contacting the store or hosts."""

    name = "sheet check"
    description = "List the faults of a sheet."
    arguments = [argument("sheet", "CSV file with the sheet.")]

    def handle(self) -> int:
        """Checks the sheet; returns 1 if it has faults."""
        try:
            sheet = read_sheet(pathlib.Path(self.argument("sheet")).read_bytes())
        except (SheetError, OSError) as exc:
            self.line_error(str(exc), style="error")
            return 1
        config = sheet.config
        self.line(
            f"no faults: {len(config.teams)} teams, {len(config.grants)} keys,"
            f" {len(config.routes)} routes, {len(config.targets)} targets"
        )
        return 0
