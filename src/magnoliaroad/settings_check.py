"""Checks settings against their types and reports each fault with its path."""

from typing import Any, TypeVar

import pydantic

T = TypeVar("T")


class SettingsError(ValueError):
    """The settings are invalid.

    Attributes:
        faults: One line for each fault, starting with its path.
    """

    def __init__(self, source: str, faults: list[str]) -> None:
        self.faults = faults
        super().__init__("\n".join(f"{source}: {fault}" for fault in faults))


def check_settings(document: Any, kind: type[T], source: str) -> T:
    """Returns ``document`` converted to ``kind``.

    Args:
        document: Settings as read from a file.
        kind: Type of the settings.
        source: Where the settings come from, for the error message.

    Raises:
        SettingsError: The settings have faults; the error lists all of them.
    """
    try:
        return pydantic.TypeAdapter(kind).validate_python(document)
    except pydantic.ValidationError as exc:
        faults = [_describe(error) for error in exc.errors()]
        raise SettingsError(source, faults) from exc


def _describe(error: Any) -> str:
    path = ".".join(str(part) for part in error["loc"]) or "(top level)"
    if error["type"] in ("missing", "missing_argument"):
        return f"{path}: required but absent"
    if error["type"] in ("extra_forbidden", "unexpected_keyword_argument"):
        return f"{path}: unknown field"
    return f"{path}: {error['msg']}, not {error['input']!r}"
