"""Errors in the exchange of messages between hosts."""

from magnoliaroad.verdict import Verdict


class PeerError(Exception):
    """A message could not be sent or got no reply.

    Attributes:
        verdict: ``NOT_RUN`` when the message cannot have reached the peer, else
            ``MAY_HAVE_RUN``.
    """

    def __init__(self, text: str, verdict: Verdict) -> None:
        self.verdict = verdict
        super().__init__(text)
