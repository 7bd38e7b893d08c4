"""Builds the explanation from the state of a host, without changing any of it."""

import math
from collections.abc import Sequence
from typing import NamedTuple

from magnoliaroad.explain.candidates import CandidateReports
from magnoliaroad.explain.explanation import (
    Explanation,
    HostReport,
    LimitReport,
    ProgramReport,
    RoomReport,
    RouteReport,
    TeamReport,
)
from magnoliaroad.explain.query import BadQuery, ExplainQuery
from magnoliaroad.homes import allowed_data_centres
from magnoliaroad.refusal import Refusal
from magnoliaroad.relay.parts import RelayParts
from magnoliaroad.relay.placer import BY_FREE_SLOTS, Decision, PlacementNeed, Preview
from magnoliaroad.relay.plan import RelayPlan, RelayTeam, pick_service
from magnoliaroad.relay.refusals import (
    NO_ROUTE,
    NOT_READY,
    UNKNOWN_KEY,
    no_room_for_programs,
)
from magnoliaroad.relay.route import RelayRoute
from magnoliaroad.relay.route_kind import RouteKind
from magnoliaroad.waiting.admission import MIN_RETURN_S, waiting_part
from magnoliaroad.waiting.standing import rank_of

# Why a request without a team is refused on a route that needs a key.
NO_TEAM = "The route needs a key: name the team that makes the request."
# Why a usable target is chosen, by the reason of the choice.
REASONS = {
    "kept": "it served the program's last turn, and none ends the turn much earlier",
    "moved": "the target of the program's last turn is not usable or ends it later",
    "new": "the turn ends there about as early as at any target",
    BY_FREE_SLOTS: "it has free slots by what the targets state, near targets first",
}
# The same for choices by load, which depend on the kind of the request.
BY_LOAD_KEPT = "it served the program's last turn and is not overloaded"
BY_LOAD_PROGRAM = (
    "it has the fewest requests; those in other data centres count as more"
)
BY_LOAD_SESSION = "it ranks first for the request's id among those not overloaded"
BY_LOAD_PLAIN = "it has spare slots, near targets first, or is the least full"


class HostStatus(NamedTuple):
    """What the parts of a host do not hold.

    Attributes:
        ready: Whether the balancer is told to send callers to it.
        draining: Whether it is about to stop.
        store_lost: Whether it is without the store.
        targets_listed_at: Monotonic time at which the targets were last listed, in
            seconds; ``-inf`` if never.
        peers_heard_at: Monotonic times of the last heartbeats of peers, in seconds.
    """

    ready: bool
    draining: bool
    store_lost: bool
    targets_listed_at: float
    peers_heard_at: Sequence[float] = ()


def explain(
    parts: RelayParts, status: HostStatus, query: ExplainQuery, now: float
) -> Explanation:
    """Returns where a request would be sent now, and why.

    Args:
        parts: Components of the host, which stay as they are.
        status: State of the host as a whole.
        query: The request.
        now: Monotonic time in seconds.

    Raises:
        BadQuery: The team is not in the configuration.
    """
    host = _report_host(parts, status, now)
    plan = parts.plans.plan
    if plan is None:
        return _refused(host, NOT_READY)
    team = _find_team(plan, query)
    route = plan.find_route(query.host, query.path)
    if route is None:
        return _refused(host, NO_ROUTE, team=_report_team(parts, team))
    return _explain_on_route(parts, host, query, plan, route, team, now)


def _explain_on_route(
    parts: RelayParts,
    host: HostReport,
    query: ExplainQuery,
    plan: RelayPlan,
    route: RelayRoute,
    team: RelayTeam | None,
    now: float,
) -> Explanation:
    streams = route.kind is RouteKind.STREAM
    service = pick_service(route, query.program or query.request)
    allowed = allowed_data_centres(route, team, parts.cfg.regions)
    placed = ""
    if streams and query.program:
        placed = parts.program_targets.known(query.program)
    need = PlacementNeed(
        service=service,
        version=None,
        streams=streams,
        request_id=query.request,
        program=query.program,
        placed=placed,
        session=query.program or query.request,
        data_centres=allowed,
        route=route.name,
        prompt_tokens=query.prompt_tokens,
        output_tokens=query.output_tokens,
    )
    program = None
    if streams and query.program:
        program = _report_program(parts, query.program, placed)
    room = _report_room(parts, need, route, team, now)
    needs_key = not route.open_to_all and bool(plan.teams)
    reports = {
        "route": RouteReport(
            name=route.name,
            prefix=route.path_prefix,
            kind=route.kind.value,
            attempts=route.attempts,
            service=service,
            service_depends_on_request=len(route.services) > 1 and not query.program,
            needs_key=needs_key,
            allowed_data_centres=None if allowed is None else sorted(allowed),
            waits_for_room=parts.waiting.is_active(service),
            waiting=parts.waiting.count(service),
            through_peer=parts.sender.is_cut(service),
            room=room,
        ),
        "team": _report_team(parts, team),
        "program": program,
    }
    preview = parts.placer.preview(need)
    candidates = CandidateReports(parts, need, preview, now).all()
    refusal = preview.refusal
    if needs_key and team is None:
        refusal = UNKNOWN_KEY._replace(message=NO_TEAM)
    elif room is not None and room.refused and program and program.would_start:
        refusal = no_room_for_programs(MIN_RETURN_S)
    if refusal is not None or preview.decision is None:
        not_chosen = tuple(c._replace(chosen=False) for c in candidates)
        return _refused(host, refusal, candidates=not_chosen, **reports)
    return Explanation(
        outcome="waits" if preview.wait_s else "sent",
        target=preview.decision.target.name,
        wait_s=preview.wait_s,
        code="",
        status=0,
        why=_why(need, preview.decision, preview),
        notes=_notes(host, reports["team"], program, candidates[0].limit),
        host=host,
        candidates=candidates,
        **reports,
    )


def _why(need: PlacementNeed, decision: Decision, preview: Preview) -> str:
    if decision.reason in REASONS:
        text = REASONS[decision.reason]
    elif not need.streams:
        text = BY_LOAD_PLAIN
    elif not need.program:
        text = BY_LOAD_SESSION
    else:
        kept = decision.target.name == need.placed
        text = BY_LOAD_KEPT if kept else BY_LOAD_PROGRAM
    if len(preview.usable) == 1:
        text = "it is the only usable target"
    if preview.wait_s:
        return "all usable targets have used up their limits; its limit frees first"
    if preview.waits_s:
        passed = ", ".join(sorted(preview.waits_s))
        text += f"; {passed} would be preferred but take no more requests now"
    return text


def _notes(
    host: HostReport,
    team: TeamReport | None,
    program: ProgramReport | None,
    limit: LimitReport | None,
) -> list[str]:
    notes = []
    if not host.ready:
        notes.append("the host is not ready, so the balancer sends callers elsewhere")
    if team is not None and team.tokens_left is not None and team.tokens_left < 1:
        notes.append(
            "the team's limit is used up as this host knows:"
            f" {team.counted_by} may refuse the request (over_limit)"
        )
    elsewhere = program is not None and program.remembered_by != host.name
    if elsewhere and not program.placed:
        notes.append(
            "this host does not know the target of the program's last turn;"
            f" it would ask {program.remembered_by}"
        )
    if limit is not None and limit.wait_s is None:
        notes.append(f"the target has a limit: {limit.counted_by} may refuse it")
    return notes


def _refused(host: HostReport, refusal: Refusal, **reports: object) -> Explanation:
    return Explanation(
        outcome="refused",
        target="",
        wait_s=0.0,
        code=refusal.code,
        status=refusal.status,
        why=refusal.message,
        notes=[],
        host=host,
        **reports,
    )


def _find_team(plan: RelayPlan, query: ExplainQuery) -> RelayTeam | None:
    if not query.team:
        return None
    team = plan.teams.get(query.team)
    if team is None:
        raise BadQuery("team", "no team of this name; a key is never accepted here")
    return team


def _report_host(parts: RelayParts, status: HostStatus, now: float) -> HostReport:
    plans, orders = parts.plans, parts.table.evacuations
    listed_at, heard_at = status.targets_listed_at, status.peers_heard_at
    return HostReport(
        name=parts.cfg.name,
        data_centre=parts.cfg.data_centre,
        ready=status.ready,
        draining=status.draining,
        store_lost=status.store_lost,
        plan_version=plans.version,
        plan_origin=plans.origin,
        plan_age_s=None if plans.plan is None else now - plans.taken_at,
        targets_age_s=now - listed_at if math.isfinite(listed_at) else None,
        newest_heartbeat_s=now - max(heard_at) if heard_at else None,
        oldest_heartbeat_s=now - min(heard_at) if heard_at else None,
        targets_current=parts.targets_current(),
        evacuated={name: orders.age_s(name, now) for name in orders.data_centres},
    )


def _report_team(parts: RelayParts, team: RelayTeam | None) -> TeamReport | None:
    if team is None:
        return None
    if team.rate <= 0:
        return TeamReport(team.name, team.rate, team.burst, None, None)
    limit = parts.limiter.view(team)
    return TeamReport(team.name, team.rate, team.burst, limit.tokens, limit.home)


def _report_program(parts: RelayParts, name: str, placed: str) -> ProgramReport:
    known = name in parts.programs
    return ProgramReport(
        known=known,
        would_start=not known,
        placed=placed,
        remembered_by=parts.program_targets.home(name),
    )


def _report_room(
    parts: RelayParts,
    need: PlacementNeed,
    route: RelayRoute,
    team: RelayTeam | None,
    now: float,
) -> RoomReport | None:
    if not need.streams:
        return None
    rank, service = rank_of(route, team), need.service
    usable = parts.table.usable(service, now, data_centres=need.data_centres)
    waiting = waiting_part(parts.target_model.loads_of(usable, now))
    admits = parts.program_admission.admits(service, rank, waiting, 0.0, now)
    is_active = parts.waiting.is_active(service)
    return RoomReport(rank, waiting, refused=is_active and not admits)
