"""The columns of the operators' sheet, by kind of row."""

KIND = "kind"
NAME = "name"

REQUIRED_COLUMNS = {
    "team": ("rate", "burst"),
    "key": ("team", "digest"),
    "route": ("route_kind",),
    "target": ("route", "url", "data_centre"),
}
OPTIONAL_COLUMNS = {
    "team": ("weight", "budget"),
    "key": (),
    "route": ("team", "open", "repeatable"),
    "target": ("fenced", "draining"),
}
KINDS = tuple(REQUIRED_COLUMNS)
NOTE = "note"  # free text for planners, ignored by the parser


def columns_of_kind(kind: str) -> frozenset[str]:
    """Returns the columns that may be filled in rows of ``kind``."""
    return frozenset(
        (KIND, NAME, NOTE, *REQUIRED_COLUMNS[kind], *OPTIONAL_COLUMNS[kind])
    )


KNOWN_COLUMNS = frozenset().union(*map(columns_of_kind, KINDS))
