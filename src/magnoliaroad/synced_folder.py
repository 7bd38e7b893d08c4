"""Makes changes of a folder's entries durable."""

import os
import pathlib


def sync_folder(folder: pathlib.Path) -> None:
    """Syncs the entries of ``folder``: files that were created, renamed or removed.

    Raises:
        OSError: Syncing failed.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
