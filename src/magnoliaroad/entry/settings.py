"""Settings of the entry server."""

from typing import NamedTuple


class EntrySettings(NamedTuple):
    """Limits on requests and on the shutdown of a host.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        drain_notice_s: Time after readiness turns false before the host waits
            for in-flight requests, so that the load balancer can react.
        drain_limit_s: Longest wait for in-flight requests at shutdown.
        attempts: Maximum number of targets that one request is sent to;
            another is tried only if the request did not run.
        resumes: Maximum number of times that an engine is asked to resume an
            interrupted stream.
    """

    max_body_bytes: int = 8_000_000
    drain_notice_s: float = 3.0
    drain_limit_s: float = 600.0
    attempts: int = 3
    resumes: int = 2
