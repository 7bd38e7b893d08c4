"""Settings of the C library's memory allocator."""

import ctypes

# Parameters of ``mallopt`` in the GNU C library.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Size from which buffers are mapped by themselves; above that of reads from sockets.
LARGE_BYTES = 81_920
# Free memory at the end of the heap that is kept for the next buffers.
SPARE_BYTES = 2_000_000


def return_large_buffers() -> bool:
    """Has large buffers returned to the system as soon as they are freed.

    By default the GNU C library takes buffers from its heap once one of their size has
    been freed. The bodies of many requests then leave gaps there, and the process grows
    by several times what they hold.

    Returns:
        Whether the C library has these settings.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(
        mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
        and mallopt(M_TRIM_THRESHOLD, SPARE_BYTES)
    )


def return_free_pages() -> bool:
    """Returns the free pages between buffers that are in use to the system.

    The GNU C library does so by itself only at the end of its heap.

    Returns:
        Whether the C library can.
    """
    try:
        malloc_trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return False
    malloc_trim(0)
    return True
