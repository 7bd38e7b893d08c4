"""A fault in the operators' sheet."""

from typing import NamedTuple


class SheetFault(NamedTuple):
    """An invalid cell or row.

    Attributes:
        row: Number of the row; the header is row 1.
        column: Name of the column; empty if the fault concerns the whole row.
        value: Text of the cell.
        message: What is wrong with the value, such as ``is not yes or no``.
    """

    row: int
    column: str
    value: str
    message: str

    def __str__(self) -> str:
        place = f"row {self.row}, {self.column}" if self.column else f"row {self.row}"
        return f"{place}: {self.value!r} {self.message}"
