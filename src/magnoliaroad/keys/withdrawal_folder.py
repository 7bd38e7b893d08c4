"""Saves withdrawn keys in a host's data folder."""

import pathlib
from collections.abc import Iterable

from magnoliaroad.config.folder import write_atomically
from magnoliaroad.keys.withdrawals import pack_shard, unpack_shard

FILE_NAME = "withdrawn"


class WithdrawalFolder:
    """Saves all fingerprints in one file, which is replaced atomically."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / FILE_NAME

    def save(self, items: Iterable[bytes]) -> None:
        """Replaces the saved fingerprints by ``items``.

        Raises:
            OSError: The folder cannot be written.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        write_atomically(self.path, pack_shard(items))

    def load(self) -> list[bytes] | None:
        """Returns the saved fingerprints; ``None`` when nothing has been saved.

        Raises:
            OSError: The folder cannot be read.
            ValueError: The file does not hold fingerprints.
        """
        if not self.path.exists():
            return None
        return unpack_shard(self.path.read_bytes())
