"""Applies a sheet as one new revision of the configuration."""

from collections.abc import Callable
from typing import NamedTuple

from magnoliaroad.config import ConfigHead
from magnoliaroad.config.accepted import AcceptedConfig
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.keys.withdrawal_store import read_withdrawals
from magnoliaroad.keys.withdrawals import Withdrawals
from magnoliaroad.sheet import Sheet, SheetPlan, find_conflicts, plan_sheet
from magnoliaroad.store import StoreConflict

MAX_ATTEMPTS = 5


class SheetConflict(Exception):
    """The sheet was made from an older revision than the accepted one.

    Attributes:
        rows: Changes that the sheet would undo, one line each, with the row.
    """

    def __init__(self, base: int, current: int, rows: list[str]) -> None:
        self.rows = rows
        super().__init__(f"made from revision {base}; revision {current} is accepted")


class ApplyResult(NamedTuple):
    """The result of applying a sheet.

    Attributes:
        accepted: The accepted configuration.
        changed: Whether a new revision was written.
    """

    accepted: AcceptedConfig
    changed: bool


class SheetApplier:
    """Computes the plan for a sheet and writes the resulting configuration.

    Args:
        publisher: Reads and writes the configuration.
        on_plan: Called before each write with the plan and the head of the
            configuration that it is based on.
    """

    def __init__(
        self,
        publisher: Publisher,
        on_plan: Callable[[SheetPlan, ConfigHead], None] = lambda plan, head: None,
    ) -> None:
        self._publisher = publisher
        self._on_plan = on_plan

    async def plan(self, sheet: Sheet) -> tuple[SheetPlan, AcceptedConfig]:
        """Returns the plan for ``sheet`` and the configuration it is based on.

        Raises:
            SheetError: A key in the sheet has the same name as a key granted by
                command.
            StoreError: The store did not answer.
        """
        accepted = await self._publisher.read()
        withdrawn = await self._read_withdrawals()
        return plan_sheet(sheet, accepted.config, withdrawn), accepted

    async def apply(
        self,
        sheet: Sheet,
        operation: str,
        base: int | None = None,
        above: int = 0,
    ) -> ApplyResult:
        """Makes ``sheet`` the accepted configuration.

        Args:
            sheet: The sheet.
            operation: Unique id of this change, which makes it idempotent.
            base: Revision that the sheet was made from; ``None`` for the
                accepted one.
            above: Revision that hosts serve but that the store has lost; a newer
                revision is then written even if nothing else changes.

        Raises:
            SheetConflict: Another revision was accepted after ``base``.
            SheetError: A key in the sheet has the same name as a key granted by
                command.
            StoreError: The write failed; the error's verdict says whether the
                change may still take effect.
        """
        for _ in range(MAX_ATTEMPTS):
            plan, accepted = await self.plan(sheet)
            self._check_base(sheet, plan, accepted, base)
            self._on_plan(plan, accepted.head)
            if not plan.changes and above <= accepted.head.revision:
                return ApplyResult(accepted, changed=False)
            try:
                written = await self._publisher.write(
                    accepted, plan.config, operation, above
                )
            except StoreConflict:
                await self._check_concurrent_change(sheet, accepted.head.revision, base)
            else:
                return ApplyResult(written, changed=True)
        raise SheetConflict(accepted.head.revision, accepted.head.revision + 1, [])

    def _check_base(
        self, sheet: Sheet, plan: SheetPlan, accepted: AcceptedConfig, base: int | None
    ) -> None:
        current = accepted.head.revision
        if base is not None and base != current:
            rows = find_conflicts(sheet, plan.changes, accepted.head, base)
            raise SheetConflict(base, current, rows)

    async def _check_concurrent_change(
        self, sheet: Sheet, planned: int, base: int | None
    ) -> None:
        """Raises ``SheetConflict`` if a retry would undo the concurrent change.

        Raises it in any case if the operator named a base revision.
        """
        plan, accepted = await self.plan(sheet)
        rows = find_conflicts(sheet, plan.changes, accepted.head, planned)
        if rows or base is not None:
            raise SheetConflict(planned, accepted.head.revision, rows)

    async def _read_withdrawals(self) -> Withdrawals:
        return await read_withdrawals(self._publisher.store)
