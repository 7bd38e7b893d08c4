"""Tells a lost connection of a caller from the errors of other connections."""

import asyncio

from aiohttp import web


def caller_left(req: web.BaseRequest) -> bool:
    """Returns whether the request's connection is closed or its task is cancelled.

    A ``CancelledError`` that a component raises does not cancel the task.
    """
    transport = req.transport
    if transport is None or transport.is_closing():
        return True
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
