"""Reads the settings of a relay host."""

import contextlib
import pathlib
import time
import typing
from typing import Any

import jsonc
import msgspec

from magnoliaroad.relay.settings import RelaySettings

# Pause between two reads of a file that is incomplete, in seconds.
RETRY_S = 0.02


def load_settings(path: str | pathlib.Path) -> RelaySettings:
    """Returns the checked settings in the file at ``path``.

    Raises:
        OSError: The file cannot be read.
        SettingsError: It is invalid; the error lists all faults.
    """
    text = pathlib.Path(path).read_text(encoding="utf-8")
    return parse_settings(text, str(path))


def wait_for_settings(path: str | pathlib.Path, timeout_s: float) -> None:
    """Waits while the file at ``path`` is missing or incomplete.

    The platform may be writing it while the process starts. Returns after ``timeout_s``
    at the latest, whatever the file holds.
    """
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError, ValueError):
            jsonc.loads(pathlib.Path(path).read_text(encoding="utf-8"))
            return
        time.sleep(RETRY_S)


def parse_settings(text: str, source: str = "settings") -> RelaySettings:
    """Returns the checked settings in ``text``.

    Raises:
        SettingsError: It is invalid; the error lists all faults.
    """
    try:
        document = jsonc.loads(text)
        return _check_data_centres(_build(RelaySettings, document))
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        # Imported only for an invalid file: the checker that lists every fault takes
        # more memory than the rest of the program.
        from magnoliaroad.settings_check import SettingsError, check_settings

        if isinstance(exc, jsonc.JSONDecodeError):
            raise SettingsError(source, [f"not JSON with comments: {exc}"]) from exc
        check_settings(document, RelaySettings, source)
        raise SettingsError(source, [str(exc)]) from exc


def _check_data_centres(cfg: RelaySettings) -> RelaySettings:
    names = cfg.data_centres
    if names and cfg.data_centre not in names:
        raise ValueError(f"data_centres: does not name {cfg.data_centre!r}")
    if len(set(names)) < len(names):
        raise ValueError(f"data_centres: names one twice: {', '.join(names)}")
    return cfg


def _build(kind: Any, document: Any) -> Any:
    if not hasattr(kind, "_fields"):
        # JSON has one type of numbers: 150.0 is an integer, too.
        if kind is int and isinstance(document, float) and document.is_integer():
            return int(document)
        return msgspec.convert(document, kind)
    hints = typing.get_type_hints(kind)
    fields = {name: _build(hints[name], value) for name, value in document.items()}
    return kind(**fields)
