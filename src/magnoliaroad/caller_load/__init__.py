"""Bounds the work that callers with badly divided bodies cause."""
