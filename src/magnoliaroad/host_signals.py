"""Signals that stop a host or make it read its settings again."""

import asyncio
import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class HostSignals:
    """Sets an event for each kind of signal; a series of signals sets it once.

    Must be created in the main thread while the event loop runs.

    Attributes:
        stop: Set once the host is to stop.
        reload: Set when the settings are to be read again; whoever does so clears it.
    """

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()
        self._loop = asyncio.get_running_loop()
        self._events = dict.fromkeys(STOP_SIGNALS, self.stop)
        self._events[RELOAD_SIGNAL] = self.reload
        for signum, event in self._events.items():
            # This lets a signal wake the loop. The loop learns which signal it was
            # through a pipe, so that it misses one that comes while the pipe is full.
            self._loop.add_signal_handler(signum, event.set)
            signal.signal(signum, self._handle)

    def _handle(self, signum: int, frame: FrameType | None) -> None:
        event = self._events[signum]
        if not event.is_set():
            self._loop.call_soon_threadsafe(event.set)


def ignore_signals_until_exit() -> None:
    """Blocks these signals for the rest of the process.

    The loop resets their handlers when it is closed, so that one that comes later would
    end the process with the status of that signal.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, RELOAD_SIGNAL))
