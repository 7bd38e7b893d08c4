"""Computes what applying a sheet changes, and detects conflicting changes."""

from typing import NamedTuple

from magnoliaroad.config import Config, ConfigHead, GrantOrigin, KeyGrant
from magnoliaroad.config.diff import ItemChange, diff_configs
from magnoliaroad.keys.withdrawals import Withdrawals, fingerprint
from magnoliaroad.sheet.error import SheetError
from magnoliaroad.sheet.fault import SheetFault
from magnoliaroad.sheet.sheet import Sheet


class SheetPlan(NamedTuple):
    """The result of applying a sheet to a configuration, before it is written.

    Attributes:
        config: The resulting configuration.
        changes: Items that differ from the base configuration.
        notes: Further remarks for the operator, one line each.
    """

    config: Config
    changes: list[ItemChange]
    notes: list[str]


def plan_sheet(sheet: Sheet, base: Config, withdrawn: Withdrawals) -> SheetPlan:
    """Returns the plan for applying ``sheet`` to ``base``.

    Keys that were granted by command are kept as long as their team exists.

    Raises:
        SheetError: A key in the sheet has the same name as a key granted by
            command.
    """
    kept = _kept_grants(sheet, base, withdrawn)
    config = sheet.config._replace(
        revision=base.revision, grants=kept | sheet.config.grants
    )
    return SheetPlan(config, diff_configs(base, config), _notes(sheet, withdrawn))


def find_conflicts(
    sheet: Sheet, changes: list[ItemChange], head: ConfigHead, base: int
) -> list[str]:
    """Returns the changes that would undo changes made after revision ``base``.

    Args:
        sheet: The sheet.
        changes: What the sheet changes in the configuration of ``head``.
        head: Head of the accepted configuration.
        base: Revision that the sheet was made from.

    Returns:
        One line for each conflict, with its row. All changes are returned if the
        history since ``base`` is incomplete.
    """
    changed_items = _items_changed_after(head, base)
    return [
        f"{_row_label(sheet, change)}: {change}"
        for change in changes
        if changed_items is None or change.item in changed_items
    ]


def _items_changed_after(head: ConfigHead, base: int) -> set[str] | None:
    later = [change for change in head.changes if change.revision > base]
    is_complete = len(later) == head.revision - base
    if not is_complete or not all(change.changed_items for change in later):
        return None
    return {item for change in later for item in change.changed_items}


def _row_label(sheet: Sheet, change: ItemChange) -> str:
    row = sheet.rows.get(change.item)
    return "no row" if row is None else f"row {row}"


def _kept_grants(
    sheet: Sheet, base: Config, withdrawn: Withdrawals
) -> dict[str, KeyGrant]:
    kept = {
        digest: grant
        for digest, grant in base.grants.items()
        if grant.origin is GrantOrigin.COMMAND
        and grant.team in sheet.config.teams
        and fingerprint(digest) not in withdrawn
        and digest not in sheet.config.grants
    }
    names = {grant.key_id for grant in kept.values()}
    faults = [
        SheetFault(
            sheet.rows[f"key {grant.key_id}"],
            "name",
            grant.key_id,
            "is the name of a key that was granted by command",
        )
        for grant in sheet.config.grants.values()
        if grant.key_id in names
    ]
    if faults:
        raise SheetError(faults)
    return kept


def _notes(sheet: Sheet, withdrawn: Withdrawals) -> list[str]:
    return [
        f"row {sheet.rows[f'key {grant.key_id}']}: key {grant.key_id}"
        " was withdrawn and stays so"
        for digest, grant in sheet.config.grants.items()
        if fingerprint(digest) in withdrawn
    ]
