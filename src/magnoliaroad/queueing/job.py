"""A request to be placed at a target."""

from typing import NamedTuple


class Job(NamedTuple):
    """The data about a request that placement uses.

    Attributes:
        request_id: Unique id of the request.
        program: Program that it belongs to, or empty.
        team: Team that sent it; empty on a route open to all callers.
        route: Route whose targets can serve it.
        prompt_tokens: Estimated tokens of the prompt.
        max_tokens: Maximum tokens of the answer.
        prefix: Digests of the prompt's prefixes, shortest first.
        excluded: Targets that failed the request and are not tried again.
        attained_tokens: Tokens that the program has used so far.
        deadline_s: Maximum seconds until the answer; 0 means no limit.
    """

    request_id: str
    program: str
    team: str
    route: str
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()
    attained_tokens: int = 0
    deadline_s: float = 0.0
