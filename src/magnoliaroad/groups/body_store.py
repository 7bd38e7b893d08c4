"""Stores the bodies of records in memory or in segment files."""

import abc
import pathlib
from collections import Counter
from typing import BinaryIO, NamedTuple

from loguru import logger
from typing_extensions import override

SEGMENT_BYTES = 64_000_000


class Span(NamedTuple):
    """Location of a body in a segment file.

    Attributes:
        segment: Number of the file.
        offset: Position of the first byte.
        size: Number of bytes.
    """

    segment: int
    offset: int
    size: int


class BodyStore(abc.ABC):
    """Stores bodies; ``put`` returns the location that ``get`` and ``drop`` need."""

    @abc.abstractmethod
    def put(self, body: bytes) -> bytes | Span:
        """Stores ``body`` and returns its location."""

    @abc.abstractmethod
    def get(self, location: bytes | Span) -> bytes:
        """Returns the body at ``location``."""

    @abc.abstractmethod
    def drop(self, location: bytes | Span) -> None:
        """Deletes the body at ``location``."""

    def close(self) -> None:
        """Releases the files."""
        return


class MemoryBodyStore(BodyStore):
    """Stores bodies in memory; the location of a body is the body itself."""

    @override
    def put(self, body: bytes) -> bytes | Span:
        return body

    @override
    def get(self, location: bytes | Span) -> bytes:
        return location

    @override
    def drop(self, location: bytes | Span) -> None:
        return


class FileBodyStore(BodyStore):
    """Appends bodies to segment files in a folder; deletes files without bodies.

    The files serve this process only. The copies on other hosts make records
    durable, so files left by an earlier process are deleted at start. A body
    that cannot be written stays in memory.

    Args:
        folder: Folder for the files; created if missing.
        segment_bytes: Size in bytes at which the next file is started.
    """

    def __init__(
        self, folder: pathlib.Path, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self.folder = folder
        self.segment_bytes = segment_bytes
        self._files: dict[int, BinaryIO] = {}
        self._live_counts: Counter[int] = Counter()
        self._segment = 0
        self._segment_end = 0
        folder.mkdir(parents=True, exist_ok=True)
        for path in folder.glob("*.bulk"):
            path.unlink()

    @override
    def put(self, body: bytes) -> bytes | Span:
        try:
            return self._append(body)
        except OSError as exc:
            logger.bind(folder=str(self.folder), reason=str(exc)).error(
                "record not written to disk, kept in memory"
            )
            return body

    @override
    def get(self, location: bytes | Span) -> bytes:
        if isinstance(location, bytes):
            return location
        file = self._files[location.segment]
        file.seek(location.offset)
        return file.read(location.size)

    @override
    def drop(self, location: bytes | Span) -> None:
        if isinstance(location, bytes):
            return
        self._live_counts[location.segment] -= 1
        if (
            location.segment != self._segment
            and not self._live_counts[location.segment]
        ):
            self._delete(location.segment)

    @override
    def close(self) -> None:
        for segment in list(self._files):
            self._delete(segment)

    def _append(self, body: bytes) -> Span:
        if self._segment_end >= self.segment_bytes:
            full_segment = self._segment
            self._segment, self._segment_end = full_segment + 1, 0
            if not self._live_counts[full_segment]:
                self._delete(full_segment)
        file = self._files.get(self._segment)
        if file is None:
            file = self._path(self._segment).open("w+b", buffering=0)
            self._files[self._segment] = file
        file.seek(self._segment_end)
        if file.write(body) != len(body):
            raise OSError("short write: only part of the record was written")
        span = Span(self._segment, self._segment_end, len(body))
        self._segment_end += len(body)
        self._live_counts[self._segment] += 1
        return span

    def _delete(self, segment: int) -> None:
        file = self._files.pop(segment, None)
        if file is not None:
            file.close()
            self._path(segment).unlink(missing_ok=True)
        del self._live_counts[segment]

    def _path(self, segment: int) -> pathlib.Path:
        return self.folder / f"{segment:08}.bulk"
