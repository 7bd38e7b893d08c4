"""Runs two attempts at a request and keeps the first that succeeds."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple


class RaceResult(NamedTuple):
    """How a race ended.

    Attributes:
        winner: Result of the attempt that succeeded first.
        is_second: Whether that is the second attempt.
        has_second: Whether there was a second attempt.
    """

    winner: Any
    is_second: bool
    has_second: bool


async def race(
    first: Coroutine[Any, Any, Any],
    age_s: float,
    start_second: Callable[[], Coroutine[Any, Any, Any] | None],
    discard: Callable[[Any], None],
) -> RaceResult:
    """Returns the result of the first attempt that succeeds; cancels the other one.

    If both fail, the error of the first is raised: the caller decides by it whether the
    request may be sent again.

    Args:
        first: The first attempt.
        age_s: Time after which a second one is looked for, in seconds.
        start_second: Returns the second attempt, or ``None`` if there is to be none.
        discard: Called with the result of an attempt that succeeded too late.

    Raises:
        Exception: What the first attempt has raised.
    """
    tasks = [asyncio.ensure_future(first)]
    winner = None
    try:
        await asyncio.wait(tasks, timeout=age_s)
        if not tasks[0].done() and (second := start_second()) is not None:
            tasks.append(asyncio.ensure_future(second))
        await _wait_for_success(tasks)
        winner = next(filter(_has_succeeded, tasks), tasks[0])
        return RaceResult(await winner, winner is not tasks[0], len(tasks) == 2)
    finally:
        await _end([task for task in tasks if task is not winner], discard)


async def _wait_for_success(tasks: list[asyncio.Future[Any]]) -> None:
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        if any(map(_has_succeeded, done)):
            return


def _has_succeeded(task: asyncio.Future[Any]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


async def _end(
    tasks: list[asyncio.Future[Any]], discard: Callable[[Any], None]
) -> None:
    """Cancels attempts, and waits until their connections are closed.

    What is left of them is dropped also if the wait is cancelled.
    """
    for task in tasks:
        if task.done():
            _drop(discard, task)
        else:
            task.cancel()
            task.add_done_callback(functools.partial(_drop, discard))
    if tasks:
        await asyncio.wait(tasks)


def _drop(discard: Callable[[Any], None], task: asyncio.Future[Any]) -> None:
    # Also marks the error of an attempt that failed as seen.
    if _has_succeeded(task):
        discard(task.result())
