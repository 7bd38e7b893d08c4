"""Resident memory of the process."""

import pathlib
import resource

STATM = pathlib.Path("/proc/self/statm")


def resident_bytes() -> int:
    """Returns the resident memory of the process, in bytes.

    Raises:
        OSError: The system does not tell it.
        ValueError: It tells it in an unknown form.
    """
    return int(STATM.read_bytes().split()[1]) * resource.getpagesize()
