"""Background tasks of services, which are restarted when they fail."""

import asyncio
import contextlib
import functools
import random
import time
import weakref
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger
from mode import Service
from mode.services import ServiceTask
from typing_extensions import override

from magnoliaroad.metrics import Counter
from magnoliaroad.processor_time import measured

FAILURES = Counter(
    "background_failures_total", "Background tasks that ended by an exception, by task."
)
# Delay before the first restart, and the longest one, in seconds.
RESTART_S = 0.1
RESTART_LIMIT_S = 2.0
# Time without a failure after which the delays start from the beginning, in seconds.
STABLE_S = 10.0


class RestartPolicy:
    """Decides when a task that has failed is restarted, and which failures are logged.

    Attributes:
        failures: Number of failures since the task last ran for ``STABLE_S``.
    """

    def __init__(self) -> None:
        self.failures = 0

    def record_failure(self, ran_s: float) -> float:
        """Returns the delay before the next start, in seconds.

        Args:
            ran_s: Time for which the task has run, in seconds.
        """
        self.failures = 1 if ran_s >= STABLE_S else self.failures + 1
        doublings = min(self.failures - 1, 16)
        return min(RESTART_LIMIT_S, RESTART_S * 2**doublings)

    @property
    def is_logged(self) -> bool:
        """Whether the last failure is logged: the first, second, fourth, eighth..."""
        return self.failures.bit_count() == 1


class BackgroundTask(ServiceTask):
    """A task that runs as long as its service, and is restarted when it fails.

    ``mode`` would stop all services of the process when one of their tasks fails.

    Args:
        function: Coroutine function, called again after each failure. A task that
            returns is not restarted.

    Attributes:
        function: The same.
    """

    def __init__(self, function: Callable[[Any], Awaitable[None]]) -> None:
        super().__init__(self._run)
        self.function = function
        self._down: weakref.WeakSet[Service] = weakref.WeakSet()

    @override
    def __repr__(self) -> str:
        return repr(self.function)

    def is_down(self, service: Service) -> bool:
        """Returns whether the task of ``service`` has failed and is to be restarted."""
        return service in self._down

    async def _run(self, service: Service) -> None:
        await run_restarting(
            f"{type(service).__name__}.{self.function.__name__}",
            lambda: self.function(service),
            functools.partial(self._set_down, service),
        )

    def _set_down(self, service: Service, down: bool) -> None:
        (self._down.add if down else self._down.discard)(service)


def background_task(function: Callable[[Any], Awaitable[None]]) -> BackgroundTask:
    """Decorates a method that runs in the background while its service does."""
    return BackgroundTask(function)


async def run_restarting(
    name: str,
    start: Callable[[], Awaitable[None]],
    set_down: Callable[[bool], None] = lambda down: None,
) -> None:
    """Awaits ``start()``, again after a growing delay whenever it raises.

    Args:
        name: Name of the task, for the log.
        start: Starts the task.
        set_down: Called with ``True`` when the task has failed, and with ``False``
            when it is restarted.
    """
    policy = RestartPolicy()
    while True:
        began = time.monotonic()
        try:
            await measured(name, start())
            return
        except (Exception, asyncio.CancelledError) as exc:
            task = asyncio.current_task()
            if isinstance(exc, asyncio.CancelledError) and task and task.cancelling():
                raise
            delay_s = policy.record_failure(time.monotonic() - began)
            # Jitter, so that hosts with the same failure do not act at the same time.
            delay_s *= random.uniform(0.5, 1.0)
            _report(name, exc, policy, delay_s)
        set_down(True)
        await asyncio.sleep(delay_s)
        set_down(False)


def _report(
    name: str, exc: BaseException, policy: RestartPolicy, delay_s: float
) -> None:
    # Without memory, or with a failing sink, this fails too: the restart goes on.
    with contextlib.suppress(Exception):
        FAILURES.inc({"task": name})
        if policy.is_logged:
            logger.bind(
                task=name, failures=policy.failures, restart_s=round(delay_s, 3)
            ).opt(exception=exc).error("background task failed")
