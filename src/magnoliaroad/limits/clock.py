"""The clock used for the expiry of share leases and loans."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def expiry_clock() -> float:
    """Returns seconds on a clock that also runs while the machine is suspended."""
    return time.clock_gettime(_CLOCK)
