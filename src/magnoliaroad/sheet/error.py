"""The error raised for an invalid sheet."""

from magnoliaroad.sheet.fault import SheetFault


class SheetError(ValueError):
    """The sheet is invalid.

    Attributes:
        faults: All faults in the sheet, sorted by row.
    """

    def __init__(self, faults: list[SheetFault]) -> None:
        self.faults = sorted(faults)
        super().__init__("\n".join(map(str, self.faults)))
