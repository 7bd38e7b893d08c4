"""What ``explain`` reports; the fields are those of its JSON output."""

from typing import Any, NamedTuple

# Digits after the point of figures; times are in seconds.
DIGITS = 4


class HostReport(NamedTuple):
    """The host that was asked, and how old its configuration and targets are.

    Attributes:
        name: Name of the host.
        data_centre: Its data centre.
        ready: Whether the balancer is told to send callers to it.
        draining: Whether it is about to stop.
        store_lost: Whether it is without the store.
        plan_version: Version of the configuration in force; -1 for none.
        plan_origin: Whence the host has it.
        plan_age_s: Time since the host has taken it, in seconds; ``None`` for none.
        targets_age_s: Time since the targets were last listed in the store, in seconds;
            changes since then came by watches or from peers. ``None`` if never.
        newest_heartbeat_s: Time since a peer last stated its configuration and counts,
            in seconds; ``None`` without peers in contact.
        oldest_heartbeat_s: The same for the peer whose news is oldest.
        targets_current: Whether no peer is known to have newer targets.
        evacuated: Evacuated data centres, with the time for which the host has known
            of the order, in seconds.
    """

    name: str
    data_centre: str
    ready: bool
    draining: bool
    store_lost: bool
    plan_version: int
    plan_origin: str
    plan_age_s: float | None
    targets_age_s: float | None
    newest_heartbeat_s: float | None
    oldest_heartbeat_s: float | None
    targets_current: bool
    evacuated: dict[str, float]


class RoomReport(NamedTuple):
    """Whether a service has room for new programs.

    Attributes:
        rank: Rank of the request; 0 is the highest.
        waiting: Requests that wait at the least loaded target, as part of its slots.
        refused: Whether the first turn of a new program would be refused.
    """

    rank: int
    waiting: float
    refused: bool


class RouteReport(NamedTuple):
    """The route that matches, and the service picked from it.

    Attributes:
        name: Name of the route.
        prefix: Prefix that matches.
        kind: Whether a request may be sent again.
        attempts: Most targets that one request may be sent to.
        service: Service that the request goes to.
        service_depends_on_request: Whether another request id may go to another one.
        needs_key: Whether a key is needed.
        allowed_data_centres: Data centres to which it may go; ``None`` for any.
        waits_for_room: Whether requests wait while all targets are full.
        waiting: Requests to the service that wait at this host.
        through_peer: Whether this host reaches the service through peers only.
        room: Whether there is room for new programs; ``None`` on a route without them.
    """

    name: str
    prefix: str
    kind: str
    attempts: int
    service: str
    service_depends_on_request: bool
    needs_key: bool
    allowed_data_centres: list[str] | None
    waits_for_room: bool
    waiting: int
    through_peer: bool
    room: RoomReport | None


class TeamReport(NamedTuple):
    """A team and what is left of its limit as this host knows.

    Attributes:
        name: Name of the team.
        rate: Requests a second over all hosts; 0 for no limit.
        burst: Requests above the rate that are admitted at once.
        tokens_left: Tokens left in this host's replica of the bucket; ``None`` without
            a limit.
        counted_by: Host that admits the team's requests; ``None`` without a limit.
    """

    name: str
    rate: float
    burst: float
    tokens_left: float | None
    counted_by: str | None


class ProgramReport(NamedTuple):
    """A program as this host knows it.

    Attributes:
        known: Whether this host has lately admitted a request of it.
        would_start: Whether the request would count as the first of a new program.
        placed: Target of its last turn; empty if this host does not know it.
        remembered_by: Host that would be asked for that target.
    """

    known: bool
    would_start: bool
    placed: str
    remembered_by: str


class LimitReport(NamedTuple):
    """The rate at which a target takes requests now.

    Attributes:
        rate: Requests a second from all hosts together.
        stated: What the target has stated; ``None`` if it has stated nothing.
        age_s: Age of the statement, in seconds; ``None`` without one.
        counted_by: Host that counts the requests.
        wait_s: Time until it takes one more, in seconds; ``None`` if only the host that
            counts knows.
    """

    rate: float
    stated: float | None
    age_s: float | None
    counted_by: str
    wait_s: float | None


class StatedLoadReport(NamedTuple):
    """The load that a target has stated last to this host.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run at the same time.
        slowdown: Factor by which work takes longer; ``None`` if it is not stated.
        age_s: Age of the statement, in seconds.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None
    age_s: float


class CandidateReport(NamedTuple):
    """One target of the service.

    Attributes:
        name: Id of the target.
        chosen: Whether the request would be sent there.
        usable: Whether it may be sent there at all.
        data_centre: Its data centre.
        state: State by its entry.
        leaving: Whether it has announced that it stops.
        evacuated: Whether its data centre is evacuated.
        outside_regions: Whether the request must not go to its data centre.
        cooldown_s: Time left of its cooldown after failures, in seconds.
        cold_s: Time for which it is cold, in seconds.
        limit: The rate that it takes; ``None`` for no limit.
        slots: Requests that it can run at the same time.
        load_counted: Requests there by the counts of all hosts.
        load_own: Those of them that this host has sent.
        load_stated: Its own statement; ``None`` if there is none.
        load_assumed: Requests there by which the choice is made.
        pace_s: Learnt time for an event, in seconds; ``None`` if unknown.
        expected_s: Time until the request is expected to end there, in seconds;
            ``None`` if the choice is not made by it.
        favour: What counts for it.
        against: What counts against it.
    """

    name: str
    chosen: bool
    usable: bool
    data_centre: str
    state: str
    leaving: bool
    evacuated: bool
    outside_regions: bool
    cooldown_s: float
    cold_s: float
    limit: LimitReport | None
    slots: int
    load_counted: int
    load_own: int
    load_stated: StatedLoadReport | None
    load_assumed: float
    pace_s: float | None
    expected_s: float | None
    favour: list[str]
    against: list[str]


class Explanation(NamedTuple):
    """Where a request would be sent now, and why.

    Attributes:
        outcome: ``sent``, ``waits`` (for the limit of its target) or ``refused``.
        target: Target that it would be sent to; empty for none.
        wait_s: Time for which it would wait first, in seconds.
        code: Code of the refusal; empty for none.
        status: HTTP status of the refusal; 0 for none.
        why: What decides, in a sentence.
        notes: What may change the outcome and is not known here.
        host: The host that was asked.
        route: Its route; ``None`` if none matches.
        team: Its team; ``None`` for none.
        program: Its program; ``None`` for none, or if the route has no programs.
        candidates: The targets of the service; the chosen one and usable ones first.
    """

    outcome: str
    target: str
    wait_s: float
    code: str
    status: int
    why: str
    notes: list[str]
    host: HostReport
    route: RouteReport | None = None
    team: TeamReport | None = None
    program: ProgramReport | None = None
    candidates: tuple[CandidateReport, ...] = ()


def to_document(value: Any) -> Any:
    """Returns a report as JSON values; figures are rounded."""
    if hasattr(value, "_asdict"):
        return {name: to_document(part) for name, part in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [to_document(part) for part in value]
    if isinstance(value, dict):
        return {name: to_document(part) for name, part in value.items()}
    return round(value, DIGITS) if isinstance(value, float) else value
