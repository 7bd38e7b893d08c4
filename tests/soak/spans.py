"""Spans of time in which something was disrupted or stopped."""

import contextlib
import math
import time


class Span:
    """A span of the monotonic clock; open until ``end`` is set."""

    def __init__(self):
        self.begin = time.monotonic()
        self.end = math.inf

    @property
    def is_open(self):
        return self.end == math.inf

    @property
    def age_s(self):
        return time.monotonic() - self.begin


class Spans:
    """The spans of one kind, such as the planned stops of a process."""

    def __init__(self):
        self.items = []

    @contextlib.contextmanager
    def span(self):
        """Records a span that lasts as long as the context."""
        span = Span()
        self.items.append(span)
        try:
            yield span
        finally:
            span.end = time.monotonic()

    def overlap(self, begin, end):
        """Returns whether a span has a part in common with another one."""
        return any(s.begin <= end and begin <= s.end for s in self.items)
