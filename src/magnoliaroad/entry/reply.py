"""Interface for returning a chat answer to its caller."""

import abc

from aiohttp import web

from magnoliaroad.entry.completion import Completion
from magnoliaroad.refusal import Refusal


class Reply(abc.ABC):
    """A response to the caller, completed by ``end`` or ``fail``.

    Attributes:
        started: Whether a part of the response was sent to the caller.
    """

    started = False

    async def write(self, events: bytes) -> None:
        """Forwards complete events of the engine's stream; ignored by default."""
        return

    @abc.abstractmethod
    async def end(self, completion: Completion) -> web.StreamResponse:
        """Completes the response after the turn has been recorded."""

    async def fail(self, refusal: Refusal) -> web.StreamResponse:
        """Ends a started response with an error, so it can't pass for complete."""
        raise NotImplementedError
