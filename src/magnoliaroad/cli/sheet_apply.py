"""``magnoliaroad sheet apply``: makes a sheet the accepted configuration."""

import pathlib

from cleo.helpers import argument, option

from magnoliaroad.cli.in_force import wait_in_force
from magnoliaroad.cli.store_command import (
    EXIT_DONE,
    EXIT_NOT_EVERYWHERE,
    EXIT_NOTHING_CHANGED,
    EXIT_USAGE,
    StoreCommand,
    open_peers,
)
from magnoliaroad.config import ConfigHead
from magnoliaroad.config.accepted import AcceptedConfig
from magnoliaroad.config.messages import ConfigPush, ConfigReply
from magnoliaroad.config.publish import new_operation, pack_config_push
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.membership.record import HostRecord
from magnoliaroad.operators import SheetApplier, SheetConflict, list_hosts
from magnoliaroad.operators.notify import choose_hosts_to_notify, notify_hosts
from magnoliaroad.sheet import SheetPlan, read_sheet
from magnoliaroad.store import Store, StoreError

LONG_WAIT_S = 30.0
SHORT_WAIT_S = 1.0


class SheetApplyCommand(StoreCommand):
    """Writes a sheet as one new revision of the configuration."""

    name = "sheet apply"
    description = "Make a sheet the accepted configuration."
    arguments = [argument("sheet", "CSV file with the sheet.")]
    options = [
        *StoreCommand.options,
        option("base", None, "Revision that the sheet was made from.", flag=False),
        option("above", None, "Revision that the store has lost.", flag=False),
        option("wait", None, "Wait until each live host has the revision in force."),
    ]

    async def handle_with_store(self, store: Store) -> int:
        """Prints the changes, applies them and reports which hosts serve them."""
        for name in ("base", "above"):
            text = self.option(name)
            if text is not None and not text.isdigit():
                self.line_error(f"--{name}={text} is not a revision", style="error")
                return EXIT_USAGE
        sheet = read_sheet(pathlib.Path(self.argument("sheet")).read_bytes())
        records = await self._live_hosts(store)
        applier = SheetApplier(Publisher(store, self.author), self._print_plan)
        operation = new_operation()
        base, above = self.option("base"), int(self.option("above") or 0)
        try:
            applied = await applier.apply(
                sheet, operation, None if base is None else int(base), above
            )
        except SheetConflict as exc:
            return self._print_conflict(exc)
        revision = applied.accepted.head.revision
        if not applied.changed:
            self.line(f"nothing to change; revision {revision} is accepted")
        else:
            self.line(f"revision {revision} accepted (operation {operation})")
            await self._notify_hosts(records, applied.accepted)
        return await self._report_rollout(records, revision)

    def _print_plan(self, plan: SheetPlan, head: ConfigHead) -> None:
        self.line(f"changes against revision {head.revision}:")
        for change in plan.changes:
            self.line(f"  {change}")
        for note in plan.notes:
            self.line(f"note: {note}")

    def _print_conflict(self, exc: SheetConflict) -> int:
        self.line_error(f"refused: the sheet was {exc}", style="error")
        self.line_error("rows that would undo what was accepted since:")
        for row in exc.rows or ["none; compare with sheet diff and apply again"]:
            self.line_error(f"  {row}")
        self.line_error("nothing was changed")
        return EXIT_NOTHING_CHANGED

    async def _live_hosts(self, store: Store) -> list[HostRecord]:
        try:
            return await list_hosts(store)
        except StoreError as exc:
            self.line_error(f"cannot list the live hosts: {exc}")
            return []

    async def _notify_hosts(
        self, records: list[HostRecord], accepted: AcceptedConfig
    ) -> None:
        addresses = [record.peer_address for record in records]
        async with open_peers(addresses) as peers:
            peers.on(ConfigPush, _ignore_message, reply=ConfigReply)
            await notify_hosts(
                peers, choose_hosts_to_notify(addresses), pack_config_push(accepted)
            )

    async def _report_rollout(self, records: list[HostRecord], revision: int) -> int:
        limit_s = LONG_WAIT_S if self.option("wait") else SHORT_WAIT_S
        states = await wait_in_force(records, revision, limit_s, self.line)
        return EXIT_DONE if self.show_hosts(states, revision) else EXIT_NOT_EVERYWHERE


async def _ignore_message(sender: str, message: ConfigPush) -> None:
    return None
