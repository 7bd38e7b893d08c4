"""How a platform's HTTP requests and answers are read and written."""

import abc
from typing import NamedTuple

from multidict import CIMultiDict, CIMultiDictProxy

from magnoliaroad.refusal import Refusal
from magnoliaroad.relay.call import RelayCall
from magnoliaroad.relay.target import RelayTarget


class TargetLoad(NamedTuple):
    """What a target says of its load.

    Attributes:
        running: Requests that it works on.
        waiting: Requests that wait at it.
        slots: Requests that it can work on at once.
    """

    running: int
    waiting: int
    slots: int


class AnswerHead(NamedTuple):
    """What the head of a target's answer says beyond HTTP.

    Attributes:
        request_id: Request that it answers; empty if it does not say.
        refused: Whether the target states that it did not run the request.
        signed: Whether the answer carries the target's signature.
        instance: Target that answered; empty if it does not say.
        load: The target's load, if it tells.
        encoded: Whether the body was changed by an encoding.
        leaving: Whether the target that answered is about to stop.
    """

    request_id: str
    refused: bool
    signed: bool
    instance: str
    load: TargetLoad | None
    encoded: bool
    leaving: bool = False


class BadCall(ValueError):
    """A request whose fields cannot be read."""


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
        self, call: RelayCall, target: RelayTarget, team: str, time_left_s: float
    ) -> CIMultiDict[str]:
        """Returns the headers with which ``call`` goes to ``target``."""

    @abc.abstractmethod
    def read_answer(self, headers: CIMultiDictProxy[str]) -> AnswerHead:
        """Returns what the head of a target's answer says."""

    @abc.abstractmethod
    def answer_headers(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
        """Returns the headers of a target's answer that the caller receives."""

    @abc.abstractmethod
    def refusal_headers(self, request_id: str, refusal: Refusal) -> dict[str, str]:
        """Returns the headers of an answer of our own."""
