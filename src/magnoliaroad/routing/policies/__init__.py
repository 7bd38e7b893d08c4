"""Placement policies; each module that registers one adds a policy."""

import importlib
import pkgutil

from magnoliaroad.routing.policies.interface import (
    load_policy,
    policy_names,
    queue_order,
    score_target,
)

for _module in pkgutil.iter_modules(__path__):
    importlib.import_module(f"{__name__}.{_module.name}")

__all__ = ["load_policy", "policy_names", "queue_order", "score_target"]
