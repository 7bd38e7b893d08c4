"""The order of waiting requests.

Kept apart from ``routing``, whose parts a relay host does not need in memory.
"""
