"""Garbage collection settings of a long-running process."""

import gc

YOUNG_OBJECTS = 50_000


def tune_gc() -> None:
    """Leaves start-up objects out of collections and collects less often.

    A request makes many short-lived containers, and almost none in cycles, so
    the default threshold collects several times a request for nothing. Start-up leaves
    hardly anything to collect; looking for it would take as long as reading aiohttp.
    """
    gc.freeze()
    _, middle, old = gc.get_threshold()
    gc.set_threshold(YOUNG_OBJECTS, middle, old)
    gc.enable()
