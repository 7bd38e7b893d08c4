"""Expectations of callers of the relay."""

from magnoliaroad.expectation import expects_continue, send_continue

__all__ = ["expects_continue", "send_continue"]
