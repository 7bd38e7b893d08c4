"""Splits the bytes of a sheet into rows of cells."""

import csv
import io
from typing import NamedTuple

from magnoliaroad.sheet.error import SheetError
from magnoliaroad.sheet.fault import SheetFault


class Table(NamedTuple):
    """The cells of a sheet.

    Attributes:
        header: Names of the columns, in lower case.
        rows: Row number and cells of each non-blank row after the header.
        decimal_comma: Whether numbers may have a decimal comma, as in sheets that
            are separated by semicolons.
    """

    header: list[str]
    rows: list[tuple[int, list[str]]]
    decimal_comma: bool


def read_table(data: bytes) -> Table:
    """Parses ``data``, which is CSV separated by commas or semicolons.

    Raises:
        SheetError: ``data`` is not UTF-8, not CSV or has no rows.
    """
    text = _decode(data)
    delimiter = _detect_delimiter(text)
    rows = _split_rows(text, delimiter)
    if not rows:
        raise SheetError([SheetFault(1, "", "", "has no header")])
    header = [cell.lower() for cell in rows[0][1]]
    if len(rows) == 1:
        raise SheetError([SheetFault(2, "", "", "is missing; the sheet has no rows")])
    return Table(header, rows[1:], decimal_comma=delimiter == ";")


def _decode(data: bytes) -> str:
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        row = data.count(b"\n", 0, exc.start) + 1
        bad = data[exc.start : exc.end].hex()
        fault = SheetFault(row, "", bad, "is not UTF-8; export the sheet as UTF-8")
        raise SheetError([fault]) from exc


def _detect_delimiter(text: str) -> str:
    header = next((line for line in text.splitlines() if line.strip()), "")
    return ";" if header.count(";") > header.count(",") else ","


def _split_rows(text: str, delimiter: str) -> list[tuple[int, list[str]]]:
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    rows = []
    number = 0
    try:
        for number, cells in enumerate(reader, start=1):
            cells = [cell.strip() for cell in cells]
            if any(cells):
                rows.append((number, cells))
    except csv.Error as exc:
        fault = SheetFault(number + 1, "", "", f"is not CSV: {exc}")
        raise SheetError([fault]) from exc
    return rows
