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
    """Converts the cells of a row to typed values and collects faults.

    Args:
        number: Number of the row; the header is row 1.
        fields: Text of each cell, by column.
        faults: List that faults are added to.
        decimal_comma: Whether numbers may have a decimal comma.
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
        """Returns the text in ``column``; empty if there is no such column."""
        return self.fields.get(column, "")

    def required(self, column: str) -> str:
        """Returns the text in ``column``, which must not be empty."""
        value = self.text(column)
        if not value:
            self.add_fault(column, "must not be empty")
        return value

    def name(self, column: str) -> str:
        """Returns the name in ``column``, which must have no spaces or asterisks."""
        value = self.required(column)
        if not value.isprintable() or any(
            char in value for char in FORBIDDEN_NAME_CHARACTERS
        ):
            self.add_fault(column, "has spaces, asterisks or unprintable characters")
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
        """Returns the integer in ``column``, which must not be negative."""
        number = self.number(column, default)
        if number != int(number):
            self.add_fault(column, "is not a whole number")
        return int(number)

    def flag(self, column: str, default: bool) -> bool:
        """Returns whether ``column`` is ``yes``; ``default`` if it is empty."""
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
        """Returns the SHA-256 digest in ``column``, in hexadecimal."""
        value = self.text(column).lower()
        if not DIGEST.fullmatch(value):
            self.add_fault(column, "is not a SHA-256 digest of 64 hexadecimal digits")
        return value

    def url(self, column: str) -> str:
        """Returns the base URL in ``column``, without trailing slashes."""
        value = self.text(column)
        if not _is_base_url(value):
            self.add_fault(
                column, "is not a URL with an IP address, such as http://10.0.0.1:8000"
            )
        return value.rstrip("/")

    def add_fault(self, column: str, message: str) -> None:
        """Adds a fault in ``column``.

        Does nothing if the column is missing, which the header check reports.
        """
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
