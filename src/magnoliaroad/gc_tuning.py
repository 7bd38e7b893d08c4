"""Garbage collection settings of a long-running process."""

import gc

YOUNG_THRESHOLD_OBJECTS = 50_000


def tune_gc() -> None:
    """Excludes start-up objects from collections and collects less often.

    A request creates many short-lived containers, almost none of them in cycles. With
    the default threshold several collections run per request and free almost nothing.
    There is no collection before the freeze: start-up leaves hardly any garbage, and
    the collection would take as long as importing aiohttp.
    """
    gc.freeze()
    _, threshold_1, threshold_2 = gc.get_threshold()
    gc.set_threshold(YOUNG_THRESHOLD_OBJECTS, threshold_1, threshold_2)
    gc.enable()
