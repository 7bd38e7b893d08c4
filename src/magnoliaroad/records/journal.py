"""Records on disk that the store does not hold yet."""

import os
import pathlib
from collections.abc import Iterator
from typing import NamedTuple

import msgpack
import xxhash
from loguru import logger


class JournalRecord(NamedTuple):
    """A record in the journal."""

    key: str
    value: bytes
    keep_s: float


class Journal:
    """Appends records to numbered files and removes files that are not needed.

    Each record stands with its checksum, so that one torn by a loss of power is not
    taken for a whole one. A file is removed once all its records are in the store; a
    removal that is undone by a loss of power only makes them be stored once more.

    Args:
        folder: Where the files lie.
        segment_bytes: Size at which a new file is begun.
    """

    def __init__(self, folder: pathlib.Path, segment_bytes: int) -> None:
        self.folder = folder
        self.segment_bytes = segment_bytes
        self._number = 0
        self._size = 0
        self._file: int | None = None
        self._needed: dict[int, set[str]] = {}
        self._where: dict[str, int] = {}

    def recover(self) -> list[JournalRecord]:
        """Returns the whole records that an earlier run has left."""
        self.folder.mkdir(parents=True, exist_ok=True)
        found: dict[str, JournalRecord] = {}
        for path in sorted(self.folder.glob("*.log")):
            number = int(path.stem)
            self._number = max(self._number, number)
            for record in _read(path):
                found[record.key] = record
                self._note(record.key, number)
        for number in list(self._needed):
            self._remove_if_done(number)
        return list(found.values())

    def append(self, records: list[JournalRecord]) -> None:
        """Writes ``records``; returns once they are synced.

        Raises:
            OSError: The disk refused.
        """
        if self._file is None or self._size >= self.segment_bytes:
            self._begin()
        data = b"".join(_pack(record) for record in records)
        _write_all(self._file, data)
        os.fdatasync(self._file)
        self._size += len(data)
        for record in records:
            self._note(record.key, self._number)

    def done(self, key: str) -> None:
        """Notes that a record is in the store."""
        number = self._where.pop(key, None)
        if number is not None:
            self._needed[number].discard(key)
            self._remove_if_done(number)

    def close(self) -> None:
        """Closes the file that is written."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _begin(self) -> None:
        self.close()
        before = self._number
        self._number += 1
        path = self.folder / f"{self._number:08}.log"
        self._file = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o600)
        self._size = 0
        self._needed.setdefault(self._number, set())
        self._remove_if_done(before)

    def _note(self, key: str, number: int) -> None:
        before = self._where.get(key)
        if before is not None and before != number:
            self._needed[before].discard(key)
        self._where[key] = number
        self._needed.setdefault(number, set()).add(key)

    def _remove_if_done(self, number: int) -> None:
        writing = self._file is not None and number == self._number
        if writing or self._needed.get(number):
            return
        if self._needed.pop(number, None) is not None:
            (self.folder / f"{number:08}.log").unlink(missing_ok=True)


def _pack(record: JournalRecord) -> bytes:
    data = msgpack.packb(record)
    return msgpack.packb((xxhash.xxh3_64_intdigest(data), data))


def _read(path: pathlib.Path) -> Iterator[JournalRecord]:
    unpacker = msgpack.Unpacker(max_buffer_size=0)
    unpacker.feed(path.read_bytes())
    try:
        for checksum, data in unpacker:
            if xxhash.xxh3_64_intdigest(data) != checksum:
                raise ValueError("wrong checksum")
            yield JournalRecord(*msgpack.unpackb(data))
    except (ValueError, TypeError) as exc:
        # What follows was never acknowledged: a sync covers all that stands before.
        logger.bind(file=path.name, reason=repr(exc)).warning("journal ends early")


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
