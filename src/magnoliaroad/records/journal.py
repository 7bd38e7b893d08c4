"""Write-ahead log of the records that the store does not hold yet."""

import os
import pathlib
import re
from collections.abc import Iterator
from typing import NamedTuple

import msgpack
import xxhash
from loguru import logger

from magnoliaroad.decoding import Undecodable, unpack
from magnoliaroad.synced_folder import sync_folder

SUFFIX = ".log"
SEGMENT_NAME = re.compile(r"(\d{8,})" + re.escape(SUFFIX))


class JournalRecord(NamedTuple):
    """A record in the journal.

    Attributes:
        key: Key of the record in the store.
        value: The record.
        ttl_s: How long the store is to keep it, in seconds.
    """

    key: str
    value: bytes
    ttl_s: float


class Journal:
    """Appends records to numbered segment files and removes those no longer needed.

    Each record is written with a checksum, so that a record torn by a power failure is
    detected. A segment is removed once all its records are in the store. If a power
    failure undoes a removal, its records are merely stored once more.

    Args:
        folder: Folder of the segment files.
        segment_bytes: Size at which a new segment is started.

    Attributes:
        unread: Whether segments were left that could not be read.
    """

    def __init__(self, folder: pathlib.Path, segment_bytes: int) -> None:
        self.folder = folder
        self.segment_bytes = segment_bytes
        self.unread = False
        self._segment = 0
        self._segment_size = 0
        self._file: int | None = None
        self._unstored: dict[int, set[str]] = {}
        self._segment_of: dict[str, int] = {}

    def recover(self) -> list[JournalRecord]:
        """Returns the intact records left by earlier runs; logs what it cannot read."""
        found: dict[str, JournalRecord] = {}
        for segment, path in self._segment_files():
            self._segment = max(self._segment, segment)
            try:
                data = path.read_bytes()
            except OSError as exc:
                self._log_unread(path.name, exc)
                continue
            for record in _read_records(path.name, data):
                found[record.key] = record
                self._track(record.key, segment)
        for segment in list(self._unstored):
            self._remove_if_stored(segment)
        return list(found.values())

    def _segment_files(self) -> list[tuple[int, pathlib.Path]]:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            names = os.listdir(self.folder)
        except OSError as exc:
            self._log_unread(str(self.folder), exc)
            return []
        for name in names:
            if name.endswith(SUFFIX) and SEGMENT_NAME.fullmatch(name) is None:
                logger.bind(file=name).info("file of no journal ignored")
        matches = map(SEGMENT_NAME.fullmatch, names)
        numbers = sorted(int(match[1]) for match in matches if match)
        return [(number, self._path(number)) for number in numbers]

    def _path(self, segment: int) -> pathlib.Path:
        return self.folder / f"{segment:08}{SUFFIX}"

    def _log_unread(self, name: str, exc: OSError) -> None:
        self.unread = True
        logger.bind(file=name, reason=str(exc)).error("journal not read")

    def append(self, records: list[JournalRecord]) -> None:
        """Appends ``records`` and syncs them to disk.

        Raises:
            OSError: Writing or syncing failed.
        """
        data = b"".join(_pack_record(record) for record in records)
        try:
            if self._file is None or self._segment_size >= self.segment_bytes:
                self._open_segment()
            _write_all(self._file, data)
            os.fdatasync(self._file)
        except BaseException:
            # Recovery ignores what follows a torn record, so a segment that may end
            # with one gets no more records.
            self.close()
            self._remove_if_stored(self._segment)
            raise
        self._segment_size += len(data)
        for record in records:
            self._track(record.key, self._segment)

    def mark_stored(self, key: str) -> None:
        """Marks a record as stored; removes its segment if it was the last one."""
        segment = self._segment_of.pop(key, None)
        if segment is not None:
            self._unstored[segment].discard(key)
            self._remove_if_stored(segment)

    def close(self) -> None:
        """Closes the segment that is open for writing."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _open_segment(self) -> None:
        self.close()
        previous = self._segment
        self._segment += 1
        self._segment_size = 0
        self.folder.mkdir(parents=True, exist_ok=True)
        # Not truncated: if recovery could not list the folder, segments may be there.
        flags = os.O_CREAT | os.O_WRONLY | os.O_EXCL
        self._file = os.open(self._path(self._segment), flags, 0o600)
        self._unstored[self._segment] = set()
        # A file whose folder was not synced may be gone after a power failure.
        sync_folder(self.folder)
        self._remove_if_stored(previous)

    def _track(self, key: str, segment: int) -> None:
        previous = self._segment_of.get(key)
        if previous is not None and previous != segment:
            self._unstored[previous].discard(key)
        self._segment_of[key] = segment
        self._unstored.setdefault(segment, set()).add(key)

    def _remove_if_stored(self, segment: int) -> None:
        writing = self._file is not None and segment == self._segment
        if writing or self._unstored.get(segment):
            return
        if self._unstored.pop(segment, None) is None:
            return
        path = self._path(segment)
        try:
            path.unlink(missing_ok=True)
        except OSError as exc:
            # Its records are merely stored once more after the next start.
            logger.bind(file=path.name, reason=str(exc)).warning(
                "journal segment not removed"
            )


def _pack_record(record: JournalRecord) -> bytes:
    data = msgpack.packb(record)
    return msgpack.packb((xxhash.xxh3_64_intdigest(data), data))


def _read_records(name: str, data: bytes) -> Iterator[JournalRecord]:
    # A damaged length must not let the decoder reserve memory for it.
    unpacker = msgpack.Unpacker(
        max_buffer_size=0, max_array_len=2, max_map_len=0, max_ext_len=0
    )
    unpacker.feed(data)
    end = 0
    try:
        for checksum, packed in unpacker:
            if xxhash.xxh3_64_intdigest(packed) != checksum:
                raise ValueError("checksum mismatch")
            end = unpacker.tell()
            try:
                yield unpack(packed, JournalRecord)
            except Undecodable as exc:
                logger.bind(file=name, offset=end, reason=str(exc)).warning(
                    "journal record of unknown format ignored"
                )
        if end < len(data):
            raise ValueError("incomplete record")
    except (ValueError, TypeError, msgpack.UnpackException) as exc:
        # Nothing after this point was acknowledged: a sync covers everything written
        # before it.
        logger.bind(file=name, offset=end, reason=repr(exc)).warning(
            "rest of damaged journal segment ignored"
        )


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
