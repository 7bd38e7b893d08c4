"""One row of the operators' sheet."""

import ipaddress
import math
import re
import urllib.parse

from magnoliaroad.sheet.fault import SheetFault

FLAGS = {"yes": True, "no": False}
DIGEST = re.compile(r"[0-9a-f]{64}")
MAX_NAME_CHARACTERS = 100
FORBIDDEN_NAME_CHARACTERS = " *"


class SheetRow:
    """Reads typed values from a row and collects its faults.

    Args:
        number: Row of the sheet, from 1.
        fields: Text of each column.
        faults: List that faults are added to.
        decimal_comma: Whether numbers may be written with a comma.
    """

    def __init__(
        self,
        number: int,
        fields: dict[str, str],
        faults: list[SheetFault],
        decimal_comma: bool = False,
    ) -> None:
        self.row_number = number
        self.fields = fields
        self._faults = faults
        self._decimal_comma = decimal_comma

    def text(self, column: str) -> str:
        """Returns the text in ``column``."""
        return self.fields.get(column, "")

    def required(self, column: str) -> str:
        """Returns the text in ``column``, which must not be empty."""
        value = self.text(column)
        if not value:
            self.add_fault(column, "must not be empty")
        return value

    def name(self, column: str) -> str:
        """Returns the name in ``column``, which has no spaces."""
        value = self.required(column)
        if not value.isprintable() or any(
            char in value for char in FORBIDDEN_NAME_CHARACTERS
        ):
            self.add_fault(
                column, "has spaces, stars or characters that cannot be printed"
            )
        if len(value) > MAX_NAME_CHARACTERS:
            self.add_fault(column, f"has more than {MAX_NAME_CHARACTERS} characters")
        return value

    def number(self, column: str, default: float | None = None) -> float:
        """Returns the number in ``column``, which must not be negative."""
        value = self.text(column)
        if not value and default is not None:
            return default
        number = self._parse_number(value)
        if not 0 <= number < math.inf:
            self.add_fault(column, "is not a number of 0 or more")
            return 0.0
        return number

    def integer(self, column: str, default: int) -> int:
        """Returns the whole number in ``column``."""
        number = self.number(column, default)
        if number != int(number):
            self.add_fault(column, "is not a whole number")
        return int(number)

    def flag(self, column: str, default: bool) -> bool:
        """Returns whether ``column`` says yes."""
        value = self.text(column).lower()
        if not value:
            return default
        if value not in FLAGS:
            self.add_fault(column, "is not yes or no")
        return FLAGS.get(value, default)

    def choice(self, column: str, choices: tuple[str, ...]) -> str:
        """Returns the text in ``column``, which must be one of ``choices``."""
        value = self.text(column)
        if value not in choices:
            self.add_fault(column, f"is not one of {', '.join(choices)}")
            return choices[0]
        return value

    def digest(self, column: str) -> str:
        """Returns the SHA-256 in ``column``, in hexadecimal."""
        value = self.text(column).lower()
        if not DIGEST.fullmatch(value):
            self.add_fault(column, "is not a SHA-256 of 64 hexadecimal digits")
        return value

    def url(self, column: str) -> str:
        """Returns the base URL in ``column``, without a slash at its end."""
        value = self.text(column)
        if not _is_base_url(value):
            self.add_fault(column, "is not a URL such as http://10.0.0.1:8000")
        return value.rstrip("/")

    def add_fault(self, column: str, message: str) -> None:
        """Notes a fault in ``column``; columns that are missing have one already."""
        if column not in self.fields:
            return
        self._faults.append(
            SheetFault(self.row_number, column, self.text(column), message)
        )

    def _parse_number(self, value: str) -> float:
        if self._decimal_comma:
            value = value.replace(",", ".")
        try:
            return float(value)
        except ValueError:
            return math.nan


def _is_base_url(value: str) -> bool:
    try:
        url = urllib.parse.urlsplit(value)
        ipaddress.ip_address(url.hostname or "")
        extra = url.query or url.fragment or url.username or url.port == 0
    except ValueError:
        return False
    return url.scheme in ("http", "https") and not extra
