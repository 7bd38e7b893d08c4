"""Implements the operators' commands, independent of the command line."""

from magnoliaroad.operators.apply import ApplyResult, SheetApplier, SheetConflict
from magnoliaroad.operators.fleet import HostState, ask_hosts, list_hosts
from magnoliaroad.operators.keys import grant_key, withdraw_key

__all__ = [
    "ApplyResult",
    "HostState",
    "SheetApplier",
    "SheetConflict",
    "ask_hosts",
    "grant_key",
    "list_hosts",
    "withdraw_key",
]
