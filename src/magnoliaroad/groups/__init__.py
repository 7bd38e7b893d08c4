"""Groups of keys: each has one owner with a fencing token, and copies elsewhere."""

from magnoliaroad.groups.entry import GroupEntry
from magnoliaroad.groups.errors import NotCopied, NotOwner
from magnoliaroad.groups.interface import Groups
from magnoliaroad.groups.local import LocalGroups
from magnoliaroad.groups.owner import Owner
from magnoliaroad.groups.service import GroupService
from magnoliaroad.groups.settings import GroupSettings

__all__ = [
    "GroupEntry",
    "GroupService",
    "GroupSettings",
    "Groups",
    "LocalGroups",
    "NotCopied",
    "NotOwner",
    "Owner",
]
