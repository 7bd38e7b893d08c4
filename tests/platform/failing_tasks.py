"""Background tasks that fail while they are told to."""

import asyncio
import functools
import importlib
import pkgutil

from mode import Service
from mode.services import ServiceTask

import magnoliaroad


class FailingTask:
    """Stands in for the function of a background task, and fails on demand.

    Attributes:
        failing: Set while it fails: at once if it runs, and at each start.
        failures: Number of times that it has failed.
        running: Number of services whose task runs.
        ended: Number of services whose task has returned.
    """

    def __init__(self, function, exc):
        functools.update_wrapper(self, function)
        self.failing = asyncio.Event()
        self.failures = 0
        self.running = 0
        self.ended = 0
        self._function = function
        self._exc = exc

    async def __call__(self, service):
        if self.failing.is_set() or not await self._run(service):
            self.failures += 1
            raise self._exc
        self.ended += 1

    async def _run(self, service):
        """Runs the function until it is to fail; returns whether it has ended."""
        task = asyncio.ensure_future(self._function(service))
        told = asyncio.ensure_future(self.failing.wait())
        self.running += 1
        try:
            await asyncio.wait({task, told}, return_when=asyncio.FIRST_COMPLETED)
            return task.done() and task.result() is None
        finally:
            self.running -= 1
            task.cancel()
            told.cancel()


def declared_tasks(kind):
    """Returns the tasks of a class of services, by the names in the log."""
    return {
        f"{kind.__name__}.{name}": value
        for base in reversed(kind.__mro__)
        for name, value in vars(base).items()
        if isinstance(value, ServiceTask)
    }


def service_classes():
    """Returns the classes of services in the product."""
    for module in pkgutil.walk_packages(magnoliaroad.__path__, "magnoliaroad."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    found, rest = set(), [Service]
    while rest:
        new = set(rest.pop().__subclasses__()) - found
        found |= new
        rest += new
    return [kind for kind in found if kind.__module__.startswith("magnoliaroad.")]


def parts_of(service):
    """Returns a service and those that it holds or has started."""
    parts, rest = [], [service]
    while rest:
        part = rest.pop()
        if part in parts:
            continue
        parts.append(part)
        for value in [*vars(part).values()]:
            held = value if isinstance(value, tuple | list) else (value,)
            rest += [each for each in held if isinstance(each, Service)]
    return parts


def tasks_of(service):
    """Returns the tasks of a service and of its parts, by the names in the log."""
    tasks = {}
    for part in parts_of(service):
        tasks.update(declared_tasks(type(part)))
    return tasks
