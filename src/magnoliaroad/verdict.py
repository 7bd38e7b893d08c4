"""The verdict on a request: whether its target may have run it."""

import enum


class Verdict(enum.StrEnum):
    """Whether a target has run a request.

    Only ``NOT_RUN`` allows a retry of a request that is not idempotent.
    """

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"

    @property
    def may_retry(self) -> bool:
        """Whether the request can be sent again without running twice."""
        return self is Verdict.NOT_RUN
