"""Parses the operators' sheet and compares it with the configuration."""

from magnoliaroad.sheet.error import SheetError
from magnoliaroad.sheet.fault import SheetFault
from magnoliaroad.sheet.plan import SheetPlan, find_conflicts, plan_sheet
from magnoliaroad.sheet.read import read_sheet
from magnoliaroad.sheet.sheet import Sheet

__all__ = [
    "Sheet",
    "SheetError",
    "SheetFault",
    "SheetPlan",
    "find_conflicts",
    "plan_sheet",
    "read_sheet",
]
