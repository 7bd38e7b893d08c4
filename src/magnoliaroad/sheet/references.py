"""Checks that involve several rows of a sheet."""

from collections.abc import Iterable

from magnoliaroad.config.route import EVERY_TEAM
from magnoliaroad.sheet.columns import KIND, NAME
from magnoliaroad.sheet.row import SheetRow

REFERENCES = {"key": ("team", "team"), "route": ("team", "team")}
REFERENCES["target"] = ("route", "route")


def check_references(rows: Iterable[SheetRow]) -> None:
    """Adds faults for duplicate names and digests and for unknown references."""
    rows = list(rows)
    _check_unique(rows, lambda row: (row.text(KIND), row.text(NAME)), NAME)
    keys = [row for row in rows if row.text(KIND) == "key"]
    _check_unique(keys, lambda row: row.text("digest").lower(), "digest")
    names = {(row.text(KIND), row.text(NAME)) for row in rows}
    for row in rows:
        column, kind = REFERENCES.get(row.text(KIND), ("", ""))
        for name in _referenced_names(row, column):
            if (kind, name) not in names:
                row.add_fault(
                    column, f"refers to the {kind} {name!r}, which has no row"
                )


def _referenced_names(row: SheetRow, column: str) -> list[str]:
    names = row.text(column).split()
    every = row.text(KIND) == "route" and names == [EVERY_TEAM]
    return [] if every else names


def _check_unique(rows, key, column: str) -> None:
    first: dict[object, SheetRow] = {}
    for row in rows:
        other = first.setdefault(key(row), row)
        if other is not row and row.text(column):
            row.add_fault(column, f"is already used in row {other.row_number}")
