"""Loads settings from JSON with comments and reports all errors with their paths."""

import pathlib

import jsonc

from magnoliaroad.settings.host import HostSettings
from magnoliaroad.settings_check import SettingsError, check_settings

__all__ = ["SettingsError", "load_settings", "parse_settings"]


def load_settings(path: str | pathlib.Path) -> HostSettings:
    """Returns the validated settings in the file at ``path``.

    Raises:
        SettingsError: The file cannot be read or contains invalid settings.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(str(path), [f"cannot be read: {exc}"]) from exc
    return parse_settings(text, source=str(path))


def parse_settings(text: str, source: str = "settings") -> HostSettings:
    """Returns the validated settings in ``text``.

    Raises:
        SettingsError: ``text`` is not valid JSON with comments, or contains invalid
                settings.
    """
    try:
        document = jsonc.loads(text)
    except ValueError as exc:
        raise SettingsError(source, [f"not JSON with comments: {exc}"]) from exc
    return check_settings(document, HostSettings, source)
