"""Processor time of the process, by what it was spent on."""

import time
import types
from collections.abc import Coroutine, Generator
from typing import Any, TypeVar

from typing_extensions import override

from magnoliaroad.metrics import Counter

T = TypeVar("T")

# Activity that stands for all time that no other activity was charged with, such as
# that of the event loop and the sockets.
OTHER = "other"


class ProcessorSeconds(Counter):
    """Processor time in seconds by activity; together all that the process has used."""

    @override
    def get_all(self) -> list[tuple[dict[str, str], float]]:
        return [*super().get_all(), ({"activity": OTHER}, self._uncharged_s())]

    def charge(self, activity: str, began: float) -> None:
        """Charges ``activity`` with the time of this thread since ``began``.

        Args:
            activity: Name of the activity.
            began: Reading of ``time.thread_time`` in seconds.
        """
        self.add({"activity": activity}, max(0.0, time.thread_time() - began))

    def charge_rest(self, activity: str) -> None:
        """Charges ``activity`` with all that the process has used but not charged."""
        self.add({"activity": activity}, self._uncharged_s())

    def _uncharged_s(self) -> float:
        charged_s = sum(seconds for _, seconds in super().get_all())
        return max(0.0, time.process_time() - charged_s)


PROCESSOR_SECONDS = ProcessorSeconds(
    "processor_seconds_total", "Processor time of the process, by activity."
)


@types.coroutine
def measured(activity: str, coro: Coroutine[Any, Any, T]) -> Generator[Any, Any, T]:
    """Awaits ``coro`` and charges ``activity`` with the time of each of its steps.

    To be used at the root of a task: a measured coroutine within another one would be
    counted twice.
    """
    resume: Any = coro.send
    value: Any = None
    while True:
        began = time.thread_time()
        try:
            waited_for = resume(value)
        except StopIteration as exc:
            return exc.value
        finally:
            # An exception would otherwise form a cycle with this frame.
            value = None
            PROCESSOR_SECONDS.charge(activity, began)
        try:
            value, resume = (yield waited_for), coro.send
        except BaseException as exc:
            value, resume = exc, coro.throw
