"""Standard streams of a process."""

import os
import sys

_STREAMS = (("stdin", "r"), ("stdout", "w"), ("stderr", "w"))


def open_missing_streams() -> None:
    """Connects each standard stream that is closed to the null device.

    Otherwise the next socket or file would get its descriptor, and with it what the
    interpreter writes to that stream.
    """
    for descriptor, (name, mode) in enumerate(_STREAMS):
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest descriptor that is free is the one that was closed.
            os.open(os.devnull, os.O_RDWR)
        if getattr(sys, name) is None:
            setattr(sys, name, open(descriptor, mode, closefd=False))  # noqa: SIM115
