"""Translates failed requests to targets into messages between hosts, and back."""

from magnoliaroad.relay.detour_messages import DetourFailure, DetourFailureKind
from magnoliaroad.targets import (
    RequestEnd,
    TargetError,
    TargetUnreachable,
    classify_failure,
)
from magnoliaroad.verdict import Verdict


class PeerUnable(Exception):
    """A peer does not send a request; the target has not received it."""


class PeerLost(TargetError):
    """The peer that sent a request is out of contact."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.MAY_HAVE_RUN)


def failure_of(exc: TargetError) -> DetourFailure:
    """Returns the message that describes ``exc`` to the host that asked."""
    if isinstance(exc, TargetUnreachable):
        kind = DetourFailureKind.TARGET_UNREACHABLE
    elif isinstance(exc.__cause__, TimeoutError):
        kind = DetourFailureKind.TIMED_OUT
    elif classify_failure(exc) is RequestEnd.LOST:
        kind = DetourFailureKind.CONNECTION_LOST
    else:
        kind = DetourFailureKind.BAD_ANSWER
    return DetourFailure(kind.value, exc.verdict is not Verdict.NOT_RUN, str(exc))


def peer_unable(reason: str) -> DetourFailure:
    """Returns the reply of a peer that does not send a request."""
    return DetourFailure(DetourFailureKind.PEER_UNABLE.value, False, reason)


def cause_of(failure: DetourFailure) -> Exception | None:
    """Returns the cause by which errors are classified on this host."""
    if failure.kind == DetourFailureKind.TIMED_OUT:
        return TimeoutError(failure.reason)
    if failure.kind == DetourFailureKind.CONNECTION_LOST:
        return ConnectionError(failure.reason)
    return None


def error_of(failure: DetourFailure) -> Exception:
    """Returns the error for a request that failed at a peer."""
    if failure.kind == DetourFailureKind.PEER_UNABLE:
        return PeerUnable(failure.reason)
    if failure.kind == DetourFailureKind.TARGET_UNREACHABLE:
        return TargetUnreachable(failure.reason)
    verdict = Verdict.MAY_HAVE_RUN if failure.may_have_run else Verdict.NOT_RUN
    exc = TargetError(failure.reason, verdict)
    exc.__cause__ = cause_of(failure)
    return exc
