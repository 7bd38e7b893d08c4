"""Finds requests that hosts lost, from what callers and targets have seen."""

from typing import NamedTuple

from tests.soak.fleet import DRAIN_LIMIT_S, REJOIN_S
from tests.soak.slow_callers import ENDED_BEFORE

# Time after the sending of a request from which its connection may not end without an
# answer, though no target has got the request.
LOSS_SLACK_S = 0.5
# Shares of time limits that are left out, for what the timers of a busy host add.
LIMIT_MARGIN_S = 0.3
# Time after the drain limit during which a stop is planned work.
STOP_MARGIN_S = 1.0


class Losses(NamedTuple):
    """Requests that ended without a whole answer.

    Attributes:
        lost: A message for each that was lost.
        crossed: A message for each that reached no target, as the host closed the
            connection as idle while it was sent, in a planned stop. Its caller can't
            tell whether it ran.
    """

    lost: list[str]
    crossed: list[str]


def find_losses(fleet, unanswered):
    """Returns the exchanges in ``unanswered`` that a host is to blame for.

    Left out are those that a target or the time limit broke off, or a disruption of
    the host, of its path to the targets or of the store within ``REJOIN_S``.
    """
    targets = [*fleet.targets, *fleet.former_targets]
    ran = {
        run[2]["magnoliaroad-request-id"] for target in targets for run in target.runs
    }
    broken = set().union(*(target.broke_off for target in targets))
    losses = Losses([], [])
    for exchange in unanswered:
        request_id = exchange.request.request_id
        if request_id not in broken and not _disrupted(fleet, exchange):
            _judge(exchange, request_id in ran, losses)
    return losses


def _disrupted(fleet, exchange):
    begin, end = exchange.began_at - REJOIN_S, exchange.ended_at
    host = exchange.request.host
    spans = [host.disruptions, fleet.store_disruptions]
    cuts = [s for s in host.target_cuts.items if s.begin <= end and s.end >= begin]
    if any(cut.begin >= begin for cut in cuts):
        return True
    if cuts:
        # Another host sends its requests to the targets.
        for other in fleet.relay_hosts:
            if other is not host:
                spans += [other.disruptions, other.stops, other.target_cuts]
    return any(span.overlap(begin, end) for span in spans)


def _judge(exchange, ran, losses):
    """Adds a message to ``losses`` if a host is to blame for the exchange."""
    if not exchange.end:
        if not exchange.received:
            losses.lost.append(f"{_text(exchange)}, no answer until the caller left")
        return
    if exchange.end == ENDED_BEFORE and not ran:
        return
    stops = _stops(exchange)
    if _past_limit(exchange, stops):
        return
    where = "no stop"
    if stops:
        after_s = exchange.sent_at - stops[-1].begin
        where = f"sent {after_s:.2f} s after SIGTERM"
    passed_on = "passed on" if ran else "not passed on"
    crossed = stops and not ran and _may_have_crossed(exchange)
    messages = losses.crossed if crossed else losses.lost
    messages.append(f"{_text(exchange)}; {passed_on}, {where}")


def _text(exchange):
    request, took_s = exchange.request, exchange.ended_at - exchange.sent_at
    followed = " (another request followed)" if exchange.followed else ""
    return (
        f"{request.request_id} {request.path}: {exchange.end} at {request.host.name}"
        f" after {took_s:.2f} s and {exchange.received} bytes{followed}"
    )


def _stops(exchange):
    """Returns the planned stops that the exchange falls into."""
    return [
        stop
        for stop in exchange.request.host.stops.items
        if stop.begin <= exchange.ended_at
        and exchange.sent_at <= stop.begin + DRAIN_LIMIT_S + STOP_MARGIN_S
    ]


def _past_limit(exchange, stops):
    """Returns whether the time limit of the request or of a stop broke it off.

    Answers that are no streams are whole at the host before their first byte is sent;
    the request's limit does not apply to them any more.
    """
    took_s = exchange.ended_at - exchange.sent_at
    ready = exchange.received and not exchange.request.is_streamed
    if not ready and took_s >= exchange.request.limit_s - LIMIT_MARGIN_S:
        return True
    return any(
        min(exchange.ended_at, stop.end) - stop.begin > DRAIN_LIMIT_S - LIMIT_MARGIN_S
        for stop in stops
        if exchange.sent_at <= stop.end
    )


def _may_have_crossed(exchange):
    """Returns whether the host can have taken the connection for idle.

    A caller that sent another request first did not see when the connection ended.
    """
    took_s = exchange.ended_at - exchange.sent_at
    soon = exchange.followed or took_s < LOSS_SLACK_S
    return not exchange.request.is_fresh and not exchange.received and soon
