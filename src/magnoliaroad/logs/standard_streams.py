"""Standard streams of a process that must not wait for their readers."""

import os
import stat
import sys

STDOUT_DESCRIPTOR = 1
STDERR_DESCRIPTOR = 2
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


def set_non_blocking(descriptor: int) -> None:
    """Makes writes to ``descriptor`` fail instead of wait for the reader.

    The mode belongs to the open file description, which other processes may share, so
    a pipe or terminal is opened again. What cannot be opened again, such as a socket or
    another user's pipe, is changed for all processes that share it.
    """
    if stat.S_ISREG(os.fstat(descriptor).st_mode):
        return
    flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
    try:
        own = os.open(f"/proc/self/fd/{descriptor}", flags)
    except OSError:
        os.set_blocking(descriptor, False)
        return
    os.dup2(own, descriptor)
    os.close(own)
