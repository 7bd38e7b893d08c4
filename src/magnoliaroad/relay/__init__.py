"""Passes callers' requests through to targets under the operator's routes.

The modules without input or output (plans, quotas, budgets, placement) take the time
and what was heard as arguments. Services built on them own sockets and tasks. The
wire formats of a platform come in through ``Dialect`` and ``Directory``.
"""
