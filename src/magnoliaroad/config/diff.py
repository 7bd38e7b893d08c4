"""Differences between two configurations."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from magnoliaroad.config.document import Config

SUMMARY_NAMES = 5
KIND_ATTRIBUTES = (
    ("team", "teams"),
    ("key", "grants"),
    ("route", "routes"),
    ("target", "targets"),
)


class ItemChange(NamedTuple):
    """An item that was added, removed or changed.

    Attributes:
        kind: ``team``, ``key``, ``route`` or ``target``.
        name: Name of the item; for keys the public key id.
        old: The item before the change; ``None`` when it is added.
        new: The item after the change; ``None`` when it is removed.
    """

    kind: str
    name: str
    old: Any = None
    new: Any = None

    @property
    def item(self) -> str:
        """Kind and name of the item."""
        return f"{self.kind} {self.name}"

    def __str__(self) -> str:
        if self.old is None:
            return f"+ {self.item}"
        if self.new is None:
            return f"- {self.item}"
        return f"~ {self.item}: {self._changed_fields()}"

    def _changed_fields(self) -> str:
        pairs = zip(self.new._fields, self.old, self.new, strict=True)
        return ", ".join(
            f"{name} {_format_value(old)} -> {_format_value(new)}"
            for name, old, new in pairs
            if old != new
        )


def diff_configs(old: Config, new: Config) -> list[ItemChange]:
    """Returns the items that differ between ``old`` and ``new``."""
    return [
        change
        for kind, attribute in KIND_ATTRIBUTES
        for change in _diff_items(
            kind, getattr(old, attribute), getattr(new, attribute)
        )
    ]


def summarise(changes: list[ItemChange]) -> str:
    """Returns a one-line summary of ``changes``."""
    shown = [str(change)[:60] for change in changes[:SUMMARY_NAMES]]
    if len(changes) > SUMMARY_NAMES:
        shown.append(f"and {len(changes) - SUMMARY_NAMES} more")
    return "; ".join(shown)


def _diff_items(
    kind: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[ItemChange]:
    for key in sorted(old.keys() | new.keys()):
        before, after = old.get(key), new.get(key)
        if before != after:
            name = key if kind != "key" else (after or before).key_id
            yield ItemChange(kind, name, before, after)


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return " ".join(value) or "-"
    if isinstance(value, str) and len(value) > 40:
        return value[:8] + "..."
    return str(value)
