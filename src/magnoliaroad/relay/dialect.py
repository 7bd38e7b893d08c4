"""Interface that reads and writes the HTTP headers of a platform."""

import abc
from typing import NamedTuple

from multidict import CIMultiDict, CIMultiDictProxy

from magnoliaroad.refusal import Refusal
from magnoliaroad.relay.call import RelayCall
from magnoliaroad.relay.target import RelayTarget


class TargetLoad(NamedTuple):
    """The load that a target reports in an answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run at the same time.
        slowdown: Time that work takes on its machine now, as a factor of the usual;
            ``None`` if the target does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class AnswerHead(NamedTuple):
    """The platform's fields in the headers of a target's answer.

    Attributes:
        request_id: Request that it answers; empty if it is not stated.
        refused: Whether the target states that it did not run the request.
        signed: Whether the answer carries the target's signature.
        instance: Target that answered; empty if it is not stated.
        load: The target's load; ``None`` if it is not stated.
        encoded: Whether the body has a content encoding.
        leaving: Whether the target that answered is about to stop.
        limit: Requests a second that it takes from all hosts together; ``None`` if it
            states no limit.
        cold_s: Time for which the target remains cold, in seconds; ``None`` if it is
            not stated.
    """

    request_id: str
    refused: bool
    signed: bool
    instance: str
    load: TargetLoad | None
    encoded: bool
    leaving: bool = False
    limit: float | None = None
    cold_s: float | None = None


class BadCall(ValueError):
    """A request with a header that cannot be decoded."""


class Dialect(abc.ABC):
    """Reads and writes the headers of one platform."""

    @abc.abstractmethod
    def request_id(self, headers: CIMultiDictProxy[str]) -> str:
        """Returns the id of a request; empty if it has none."""

    @abc.abstractmethod
    def read_call(
        self, method: str, path: str, headers: CIMultiDictProxy[str], body: bytes
    ) -> RelayCall:
        """Returns the call in a request; raises ``BadCall`` naming the field."""

    @abc.abstractmethod
    def target_headers(
        self,
        call: RelayCall,
        target: RelayTarget,
        team: str,
        time_left_s: float,
        urgency: int | None = None,
    ) -> CIMultiDict[str]:
        """Returns the headers of the request that sends ``call`` to ``target``.

        Args:
            call: The call.
            target: The target.
            team: Team that makes the call; empty for none.
            time_left_s: Time that the target has, in seconds.
            urgency: Urgency at an engine from 0, which goes first, to 9; ``None`` to
                state none.
        """

    @abc.abstractmethod
    def read_answer(self, headers: CIMultiDictProxy[str]) -> AnswerHead:
        """Returns the platform's fields in the headers of a target's answer."""

    @abc.abstractmethod
    def answer_headers(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Returns the headers of a target's answer that the caller receives."""

    @abc.abstractmethod
    def refusal_headers(self, request_id: str, refusal: Refusal) -> dict[str, str]:
        """Returns the headers of a refusal by this host."""
