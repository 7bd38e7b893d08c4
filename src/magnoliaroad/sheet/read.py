"""Parses the operators' sheet from CSV."""

from magnoliaroad.config import Config, KeyGrant, Route, RouteKind, Target, Team
from magnoliaroad.sheet.columns import (
    KIND,
    KINDS,
    KNOWN_COLUMNS,
    NAME,
    REQUIRED_COLUMNS,
    columns_of_kind,
)
from magnoliaroad.sheet.error import SheetError
from magnoliaroad.sheet.fault import SheetFault
from magnoliaroad.sheet.references import check_references
from magnoliaroad.sheet.row import SheetRow
from magnoliaroad.sheet.sheet import Sheet
from magnoliaroad.sheet.table import Table, read_table


def read_sheet(data: bytes) -> Sheet:
    """Parses and validates the sheet in ``data``.

    Raises:
        SheetError: The sheet is invalid; the error lists all faults.
    """
    table = read_table(data)
    faults: list[SheetFault] = []
    rows = [_make_row(table, number, cells, faults) for number, cells in table.rows]
    rows = [row for row in rows if _has_kind(row)]
    _check_header(table.header, {row.text(KIND) for row in rows}, faults)
    config = Config(0, {}, {}, {}, {})
    for row in rows:
        _check_unused(row)
        ADDERS[row.text(KIND)](config, row)
    check_references(rows)
    if faults:
        raise SheetError(faults)
    items = {f"{row.text(KIND)} {row.text(NAME)}": row.row_number for row in rows}
    return Sheet(config, items)


def _check_header(header: list[str], kinds: set[str], faults: list[SheetFault]) -> None:
    def add_fault(column: str, message: str) -> None:
        faults.append(SheetFault(1, column, column, message))

    for column in sorted(set(header) - {""}):
        if column not in KNOWN_COLUMNS:
            add_fault(
                column, f"is not one of the columns {', '.join(sorted(KNOWN_COLUMNS))}"
            )
        if header.count(column) > 1:
            add_fault(column, "occurs more than once in the header")
    for column in (KIND, NAME):
        if column not in header:
            add_fault(column, "is missing from the header")
    for kind in sorted(kinds):
        for column in REQUIRED_COLUMNS[kind]:
            if column not in header:
                add_fault(
                    column, f"is missing from the header; rows of kind {kind} need it"
                )


def _make_row(
    table: Table, number: int, cells: list[str], faults: list[SheetFault]
) -> SheetRow:
    width = len(table.header)
    if any(cells[width:]):
        text = table.header[-1]
        extra = " ".join(cells[width:])
        faults.append(
            SheetFault(number, "", extra, f"is beyond the last column, {text}")
        )
    padded = [*cells, *[""] * (width - len(cells))]
    fields = {
        column: cell
        for column, cell in zip(table.header, padded, strict=False)
        if column
    }
    return SheetRow(number, fields, faults, table.decimal_comma)


def _has_kind(row: SheetRow) -> bool:
    if row.text(KIND) in KINDS:
        return True
    row.add_fault(KIND, f"is not one of {', '.join(KINDS)}")
    return False


def _check_unused(row: SheetRow) -> None:
    kind = row.text(KIND)
    for column in sorted(row.fields.keys() & KNOWN_COLUMNS - columns_of_kind(kind)):
        if row.text(column):
            row.add_fault(column, f"is not used in rows of kind {kind}")


def _add_team(config: Config, row: SheetRow) -> None:
    name = row.name(NAME)
    config.teams[name] = Team(
        name=name,
        rate=row.number("rate"),
        burst=row.number("burst"),
        weight=row.number("weight", default=1.0),
        program_budget=row.integer("budget", default=1_000_000),
    )


def _add_key(config: Config, row: SheetRow) -> None:
    digest = row.digest("digest")
    team = row.name("team")
    config.grants[digest] = KeyGrant(row.name(NAME), team, digest)


def _add_route(config: Config, row: SheetRow) -> None:
    name = row.name(NAME)
    config.routes[name] = Route(
        name=name,
        kind=RouteKind(row.choice("route_kind", tuple(RouteKind))),
        teams=tuple(row.text("team").split()),
        open=row.flag("open", default=False),
        repeatable=row.flag("repeatable", default=True),
    )


def _add_target(config: Config, row: SheetRow) -> None:
    name = row.name(NAME)
    config.targets[name] = Target(
        name=name,
        route=row.name("route"),
        url=row.url("url"),
        data_centre=row.name("data_centre"),
        fenced=row.flag("fenced", default=False),
        draining=row.flag("draining", default=False),
    )


ADDERS = {
    "team": _add_team,
    "key": _add_key,
    "route": _add_route,
    "target": _add_target,
}
