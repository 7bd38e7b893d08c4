"""A valid sheet."""

from typing import NamedTuple

from magnoliaroad.config import Config


class Sheet(NamedTuple):
    """The contents of the operators' sheet.

    Attributes:
        config: The configuration in the sheet, with revision 0.
        rows: Row number of each item, by kind and name, such as
            ``team arcades``.
    """

    config: Config
    rows: dict[str, int]
