"""Failures of requests that a peer sends keep their meaning on the way back."""

import aiohttp
import pytest

from magnoliaroad.relay.detour_failure import (
    PeerUnable,
    error_of,
    failure_of,
    peer_unable,
)
from magnoliaroad.targets import (
    AnswerCut,
    TargetError,
    TargetUnreachable,
    classify_failure,
)
from magnoliaroad.targets.errors import NotHttp
from magnoliaroad.verdict import Verdict


def caused(exc, cause):
    exc.__cause__ = cause
    return exc


@pytest.mark.parametrize(
    "exc",
    [
        TargetUnreachable("refused"),
        TargetError("not sent", Verdict.NOT_RUN),
        caused(TargetError("late", Verdict.MAY_HAVE_RUN), TimeoutError()),
        caused(AnswerCut("reset"), aiohttp.ClientPayloadError()),
        caused(AnswerCut("bad chunk"), NotHttp()),
        AnswerCut("stream ended inside an event"),
    ],
)
def test_verdict_and_classification_survive(exc):
    received = error_of(failure_of(exc))
    assert received.verdict is exc.verdict
    assert classify_failure(received) is classify_failure(exc)
    assert isinstance(received, TargetUnreachable) == isinstance(exc, TargetUnreachable)
    assert isinstance(received.__cause__, TimeoutError) == isinstance(
        exc.__cause__, TimeoutError
    )


def test_a_peer_that_is_unable_is_no_failure_of_the_target():
    assert isinstance(error_of(peer_unable("slow")), PeerUnable)
