"""Keeps withdrawn keys in a host's data folder."""

import pathlib
from collections.abc import Iterable

from magnoliaroad.config.folder import write_atomically
from magnoliaroad.keys.withdrawals import pack_shard, unpack_shard

FILE_NAME = "withdrawn"


class WithdrawalFolder:
    """One file with all fingerprints, replaced as a whole."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / FILE_NAME

    def save(self, items: Iterable[bytes]) -> None:
        """Writes ``items`` in place of what was there.

        Raises:
            OSError: The folder cannot be written.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        write_atomically(self.path, pack_shard(items))

    def load(self) -> list[bytes] | None:
        """Returns what was written last; ``None`` when nothing was.

        Raises:
            OSError: The folder cannot be read.
            ValueError: The file does not hold fingerprints.
        """
        if not self.path.exists():
            return None
        return unpack_shard(self.path.read_bytes())
