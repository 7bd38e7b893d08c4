"""The timer of the checks for callers that stop reading."""

import pytest

from magnoliaroad import stall_watch
from magnoliaroad.stall_watch import CHECKS, StallTimer, StallWatch


class Transport:
    """A connection whose caller has taken none of 10 bytes."""

    def __init__(self):
        self.aborted = False

    def is_closing(self):
        return self.aborted

    def get_write_buffer_size(self):
        return 10

    def get_extra_info(self, name):
        return None

    def abort(self):
        self.aborted = True


class Writer:
    def __init__(self):
        self.output_size = 10


class Request:
    def __init__(self):
        self.writer = Writer()
        self.transport = Transport()


class Loop:
    """Keeps the callbacks of timers."""

    def __init__(self):
        self.timers = []

    def call_later(self, delay_s, callback):
        self.timers.append(callback)

    def tick(self):
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()


@pytest.fixture
def clock(monkeypatch):
    clock = Loop()
    monkeypatch.setattr(stall_watch.asyncio, "get_running_loop", lambda: clock)
    return clock


def test_all_requests_share_a_timer_that_ends_with_them(clock):
    timer = StallTimer()
    with StallWatch(timer, Request(), "a"), StallWatch(timer, Request(), "b"):
        assert len(clock.timers) == 1
        clock.tick()
        assert len(clock.timers) == 1
    clock.tick()
    assert clock.timers == []
    with StallWatch(timer, Request(), "c"):
        assert len(clock.timers) == 1


def test_a_caller_has_the_whole_time_however_soon_the_first_check_comes(clock):
    timer, req = StallTimer(), Request()
    with StallWatch(timer, req, "a") as watch:
        for _ in range(CHECKS):
            clock.tick()
        assert not watch.stalled
        clock.tick()
    assert watch.stalled
    assert req.transport.aborted


def test_a_byte_that_is_taken_starts_the_time_again(clock):
    timer, req = StallTimer(), Request()
    with StallWatch(timer, req, "a") as watch:
        for _ in range(3 * CHECKS):
            clock.tick()
            req.writer.output_size += 1
        assert not watch.stalled


def test_a_watch_that_fails_does_not_end_the_others(clock, logged):
    timer, failing, stalled = StallTimer(), Request(), Request()
    del failing.writer
    with StallWatch(timer, failing, "r-1"), StallWatch(timer, stalled, "r-2"):
        for _ in range(CHECKS + 1):
            clock.tick()
        assert stalled.transport.aborted
    assert "caller not watched" in {line["event"] for line in logged}
