"""An event loop with a virtual clock that advances to the next timer."""

import asyncio
import selectors


class _VirtualTimeSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("no timer left: the test would wait forever")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting; ``time()`` starts at 0."""

    def __init__(self):
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self):
        return self._time_selector.now

    def close(self):
        # Pending tasks would be destroyed later, while other code runs. Python 3.11
        # then fails if that code parses source, as pytest does for its reports.
        pending = asyncio.all_tasks(self) if not self.is_closed() else ()
        for task in pending:
            task.cancel()
        if pending:
            self.run_until_complete(asyncio.wait(pending))
        super().close()
