"""Relays callers' requests to targets under the operator's routes.

The modules without input or output (plans, quotas, budgets, placement) take the time
and the state of peers as arguments. Services built on them own sockets and tasks. The
formats of a platform are behind the interfaces ``Dialect`` and ``EntryDecoder``.
"""
