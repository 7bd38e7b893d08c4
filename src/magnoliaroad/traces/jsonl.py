"""Trace files in JSON Lines: a header line, then one line for each program."""

import pathlib
from typing import Any

import msgspec

from magnoliaroad.traces.record import ProgramRecord, Trace, TraceHeader

FORMAT_VERSION = 1


class TraceError(ValueError):
    """An invalid trace file; the message states the line of a decoding error."""


def write_trace(trace: Trace, path: pathlib.Path) -> None:
    """Writes ``trace`` to ``path``."""
    lines = [trace.header, *trace.programs]
    path.write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))


def read_trace(path: pathlib.Path) -> Trace:
    """Returns the trace at ``path``.

    Raises:
        TraceError: The file is empty, has another format version, or contains a
            line that does not match the schema.
    """
    lines = path.read_bytes().splitlines()
    if not lines:
        raise TraceError(f"{path}: the trace file is empty")
    header = _decode(path, 1, lines[0], TraceHeader)
    if header["version"] != FORMAT_VERSION:
        raise TraceError(
            f"{path}: format version {header['version']}, expected {FORMAT_VERSION}"
        )
    programs = [
        _decode(path, line_number, line, ProgramRecord)
        for line_number, line in enumerate(lines[1:], start=2)
    ]
    return Trace(header, programs)


def trace_schema() -> dict[str, Any]:
    """Returns the JSON schemas of header lines and program lines."""
    line_types = {"header": TraceHeader, "program": ProgramRecord}
    return {
        name: msgspec.json.schema(line_type) for name, line_type in line_types.items()
    }


def _decode(path: pathlib.Path, line_number: int, line: bytes, line_type: Any) -> Any:
    try:
        return msgspec.json.decode(line, type=line_type)
    except msgspec.MsgspecError as exc:
        raise TraceError(f"{path}, line {line_number}: {exc}") from exc
