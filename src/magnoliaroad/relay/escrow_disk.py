"""The files in which an escrow host keeps its grants."""

import os
import pathlib
import uuid
from typing import NamedTuple

import msgpack
from loguru import logger

from magnoliaroad.decoding import Undecodable, unpack
from magnoliaroad.records.journal import Journal, JournalRecord
from magnoliaroad.synced_folder import sync_folder

# Size at which a new segment of the journal is started, in bytes.
SEGMENT_BYTES = 200_000
IDENTITY_FILE = "identity"


class DiskIdentity(NamedTuple):
    """Identifier of a disk, kept on it.

    Attributes:
        disk: Random identifier.
        settled: Whether tokens may be granted from this disk; see ``EscrowRole``.
    """

    disk: str
    settled: bool


class EscrowDisk:
    """Keeps the identity of a disk, and the tokens granted of each program.

    Args:
        folder: Folder of the files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._journal = Journal(folder, SEGMENT_BYTES)
        self._incomplete = False

    def recover(self) -> dict[str, int]:
        """Returns the tokens that earlier runs granted, by program."""
        totals = {}
        for record in self._journal.recover():
            try:
                totals[record.key] = unpack(record.value, int)
            except Undecodable as exc:
                self._incomplete = True
                logger.bind(program=record.key, reason=str(exc)).error(
                    "grants of a program not read"
                )
        self._incomplete |= self._journal.unread
        return totals

    def load_identity(self) -> DiskIdentity:
        """Returns the identity of the disk; without a sound one it gets a new one.

        So does a disk with grants that could not be read.
        """
        identity = self._read_identity()
        if identity is not None and not self._incomplete:
            return identity
        identity = DiskIdentity(uuid.uuid4().hex, False)
        try:
            self.save_identity(identity)
        except OSError as exc:
            # The next run takes it for another disk, which grants nothing at first.
            logger.bind(reason=str(exc)).error("identity of the disk not written")
        return identity

    def _read_identity(self) -> DiskIdentity | None:
        path = self._folder / IDENTITY_FILE
        try:
            return unpack(path.read_bytes(), DiskIdentity)
        except FileNotFoundError:
            return None
        except (Undecodable, OSError) as exc:
            logger.bind(file=path.name, reason=repr(exc)).warning(
                "damaged identity of the disk replaced"
            )
            return None

    def save_identity(self, identity: DiskIdentity) -> None:
        """Writes and syncs the identity of the disk.

        Raises:
            OSError: Writing or syncing failed.
        """
        path = self._folder / IDENTITY_FILE
        draft = path.with_suffix(".new")
        with draft.open("wb") as file:
            file.write(msgpack.packb(identity))
            file.flush()
            os.fsync(file.fileno())
        draft.replace(path)
        sync_folder(self._folder)

    def save_grants(self, totals: dict[str, int], ttl_s: float) -> None:
        """Writes and syncs the tokens granted, by program.

        Raises:
            OSError: Writing or syncing failed.
        """
        self._journal.append(
            [
                JournalRecord(program, msgpack.packb(total), ttl_s)
                for program, total in totals.items()
            ]
        )

    def forget(self, programs: list[str]) -> None:
        """Lets the grants of ``programs`` be removed from the disk."""
        for program in programs:
            self._journal.mark_stored(program)

    def close(self) -> None:
        """Closes the open file."""
        self._journal.close()
