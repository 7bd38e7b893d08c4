"""Keeps the last configuration of a host in its data folder."""

import os
import pathlib

from magnoliaroad.config.head import ConfigHead, pack_head, unpack_head
from magnoliaroad.config.replica import ConfigReplica


class ConfigFolder:
    """Writes only the parts that changed, then the head, each atomically."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder

    def save(self, replica: ConfigReplica) -> None:
        """Writes the newest whole configuration of ``replica``.

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
        """Offers the kept configuration to ``replica`` and returns its head.

        Raises:
            OSError: The folder cannot be read.
            ValueError: What is there is not a configuration.
        """
        path = self.folder / "head"
        if not path.exists():
            return None
        head = unpack_head(path.read_bytes())
        for ref in head.parts:
            replica.add((self.folder / "parts" / ref.digest.hex()).read_bytes())
        replica.offer(head)
        return head


def write_atomically(path: pathlib.Path, data: bytes) -> None:
    """Replaces the file at ``path`` as a whole, also if the process dies."""
    temporary = path.with_name(f".{path.name}.tmp")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
