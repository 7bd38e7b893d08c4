"""Errors of groups."""

from magnoliaroad.verdict import Verdict


class NotOwner(Exception):
    """This host does not own the group, or may not act as its owner now."""

    verdict = Verdict.NOT_RUN


class NotCopied(Exception):
    """Too few copies confirmed the record; some hosts may still have it."""

    verdict = Verdict.MAY_HAVE_RUN
