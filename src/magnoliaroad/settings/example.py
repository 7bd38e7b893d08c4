"""Renders an annotated example of a host's settings from the settings classes."""

import inspect
import json
import textwrap
import typing
from collections.abc import Iterator
from typing import Any

from magnoliaroad.settings.host import HostSettings

# Width to which comments are wrapped, in characters.
LINE_WIDTH = 78
# Example values of settings without a default.
REQUIRED_EXAMPLES = {
    "name": "host-1",
    "data_centre": "kolkata-1",
    "address": "10.0.0.1",
    "http_port": 8080,
    "peer_port": 8081,
    "url": "http://10.0.0.9:7000",
}


def render_example() -> str:
    """Returns JSON with comments that contains every setting and its default."""
    lines = _render_object(HostSettings, None, indent=0)
    return "// Settings of an entry host.\n" + "\n".join(lines)


def _render_object(settings_type: Any, defaults: Any, indent: int) -> Iterator[str]:
    descriptions = parse_attribute_docs(settings_type)
    yield "{"
    for index, (name, hint) in enumerate(typing.get_type_hints(settings_type).items()):
        comma = "," if index < len(settings_type._fields) - 1 else ""
        default = _default_value(settings_type, defaults, name)
        if hasattr(hint, "_fields"):
            yield from _render_comment(inspect.getdoc(hint).splitlines()[0], indent + 2)
            yield from _render_nested(name, hint, default, indent + 2, comma)
        else:
            yield from _render_comment(descriptions.get(name, ""), indent + 2)
            value = json.dumps(default)
            yield f"{' ' * (indent + 2)}{json.dumps(name)}: {value}{comma}"
    yield " " * indent + "}"


def _render_nested(
    name: str, settings_type: Any, default: Any, indent: int, comma: str
) -> Iterator[str]:
    first, *others = _render_object(settings_type, default, indent)
    yield f"{' ' * indent}{json.dumps(name)}: {first}"
    yield from others[:-1]
    yield others[-1] + comma


def _default_value(settings_type: Any, defaults: Any, name: str) -> Any:
    if defaults is not None:
        return getattr(defaults, name)
    if name in settings_type._field_defaults:
        return settings_type._field_defaults[name]
    return REQUIRED_EXAMPLES.get(name)


def _render_comment(text: str, indent: int) -> Iterator[str]:
    for line in textwrap.wrap(text, LINE_WIDTH - indent):
        yield f"{' ' * indent}// {line}"


def parse_attribute_docs(settings_type: Any) -> dict[str, str]:
    """Returns the attribute descriptions in the docstring of ``settings_type``."""
    _, _, section = (inspect.getdoc(settings_type) or "").partition("Attributes:\n")
    descriptions: dict[str, str] = {}
    name = ""
    for line in textwrap.dedent(section).splitlines():
        if line and not line[0].isspace():
            name, _, text = line.partition(":")
            descriptions[name] = text.strip()
        elif name:
            descriptions[name] = f"{descriptions[name]} {line.strip()}".strip()
    return descriptions
