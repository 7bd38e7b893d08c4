"""Operators' orders to send nothing more to the targets of a data centre."""

from magnoliaroad.evacuation.messages import EvacuationNotice
from magnoliaroad.evacuation.orders import EvacuationChange, EvacuationOrders

__all__ = [
    "EvacuationChange",
    "EvacuationNotice",
    "EvacuationOrders",
]
