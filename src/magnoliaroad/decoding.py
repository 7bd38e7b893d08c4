"""Decodes bytes from other processes; whatever a codec raises becomes one error."""

import functools
import ipaddress
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgpack
import msgspec
from loguru import logger

# Longest description of what could not be decoded, in characters.
MAX_DETAIL_CHARS = 200
# Largest integer that a message between hosts can carry.
MAX_INTEGER = 2**63 - 1
MAX_PORT = 65_535
# Number of undecodable entries that are remembered as logged.
MAX_REMEMBERED_ENTRIES = 256
# Deeply nested input exceeds the limit on recursion, numbers may be too large for their
# type, and text may not be UTF-8.
_CODEC_ERRORS = (
    msgspec.MsgspecError,
    msgpack.UnpackException,
    ValueError,
    TypeError,
    RecursionError,
    OverflowError,
)


class Entry(Protocol):
    """An entry of the store."""

    key: str
    value: bytes
    revision: int


class Undecodable(ValueError):
    """Bytes that cannot be decoded; the text is bounded."""


def decode_json(data: bytes, kind: Any = Any) -> Any:
    """Returns the JSON value in ``data`` as ``kind``.

    Raises:
        Undecodable: ``data`` is not such a value.
    """
    return _decode(lambda: msgspec.json.decode(data, type=kind))


def unpack(data: bytes, kind: Any = Any) -> Any:
    """Returns the msgpack value in ``data`` as ``kind``.

    Raises:
        Undecodable: ``data`` is not such a value.
    """
    return _decode(lambda: msgspec.convert(msgpack.unpackb(data), kind))


def _decode(decode: Callable[[], Any]) -> Any:
    try:
        return decode()
    except _CODEC_ERRORS as exc:
        text = f"{type(exc).__name__}: {exc}"[:MAX_DETAIL_CHARS]
        raise Undecodable(text) from exc


def decode_entries(entries: Iterable[Entry], decode: Callable[[bytes], Any]) -> list:
    """Returns what the values of store entries stand for, without undecodable ones.

    Each of those is logged once, with its key.

    Args:
        entries: The entries.
        decode: Decodes a value; raises ``ValueError`` if that is not possible.
    """
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode(entry.value))
        except ValueError as exc:
            log_refused(entry.key, entry.revision, str(exc)[:MAX_DETAIL_CHARS])
    return decoded


@functools.lru_cache(maxsize=MAX_REMEMBERED_ENTRIES)
def log_refused(key: str, revision: int, reason: str) -> None:
    """Logs an entry of the store that cannot be decoded, unless it was logged."""
    logger.bind(key=key, revision=revision, reason=reason).warning("entry refused")


def can_be_sent(text: str) -> bool:
    """Returns whether messages can carry ``text``, as it was received as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def check_integer(name: str, value: int) -> int:
    """Returns ``value`` if it is from 0 to the largest that messages can carry.

    Raises:
        Undecodable: It is not; the error has the name of the field.
    """
    if not 0 <= value <= MAX_INTEGER:
        raise Undecodable(f"{name}: out of range: {str(value)[:40]}")
    return value


def check_address(host: str, port: int | str) -> tuple[str, int]:
    """Returns an IP address and a port.

    Raises:
        Undecodable: ``host`` is no IP address, or ``port`` is not from 1 to 65,535.
    """
    text = str(port)
    try:
        ipaddress.ip_address(host)
    except ValueError as exc:
        raise Undecodable(f"address: {host[:40]!r}") from exc
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(MAX_PORT)):
        raise Undecodable(f"port: {text[:40]!r}")
    if not 0 < int(text) <= MAX_PORT:
        raise Undecodable(f"port: {text}")
    return host, int(text)
