"""Saves the last configuration of a host in its data folder."""

import os
import pathlib

from magnoliaroad.config.head import ConfigHead, pack_head, unpack_head
from magnoliaroad.config.replica import ConfigReplica


class ConfigFolder:
    """Saves a configuration as one file for each part and one for the head.

    Each file is replaced atomically. The head is written after the new parts, and
    unused parts are deleted after it, so the saved head always has all its parts.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder

    def save(self, replica: ConfigReplica) -> None:
        """Writes the head of ``replica`` and the parts that are not saved yet.

        Raises:
            OSError: The folder cannot be written.
        """
        parts = self.folder / "parts"
        parts.mkdir(parents=True, exist_ok=True)
        names = {ref.digest.hex(): ref.digest for ref in replica.head.parts}
        present = {path.name for path in parts.iterdir()}
        for name in names.keys() - present:
            write_atomically(parts / name, replica.parts([names[name]])[0])
        write_atomically(self.folder / "head", pack_head(replica.head))
        for name in present - names.keys():
            (parts / name).unlink(missing_ok=True)

    def load(self, replica: ConfigReplica) -> ConfigHead | None:
        """Installs the saved configuration in ``replica``.

        Returns:
            The saved head; ``None`` when nothing has been saved.

        Raises:
            OSError: The folder cannot be read.
            ValueError: A file does not hold a configuration head or part.
        """
        path = self.folder / "head"
        if not path.exists():
            return None
        head = unpack_head(path.read_bytes())
        for ref in head.parts:
            replica.add((self.folder / "parts" / ref.digest.hex()).read_bytes())
        replica.install(head)
        return head


def write_atomically(path: pathlib.Path, data: bytes) -> None:
    """Replaces the file at ``path`` atomically, also if the process crashes."""
    temporary = path.with_name(f".{path.name}.tmp")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
