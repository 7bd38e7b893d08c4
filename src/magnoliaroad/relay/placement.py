"""Chooses the target of a request."""

from collections.abc import Sequence

from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.rendezvous import highest_ranked, rendezvous

# A session leaves its target when the target has no free slot, or more requests than
# the mean times the factor plus the margin. Computing a history's cache anew on another
# target costs about as much as a batch that is a third larger.
OVERLOAD_FACTOR = 1.3
OVERLOAD_MARGIN = 4
# Requests more than the mean times a factor that a target of this data centre may have
# before a new program goes to another data centre, where a partition would end it.
FAR_FACTOR = 0.3
FAR_MARGIN = 2
# Part of a plain target's slots that may be in use while the target counts as having
# spare slots; some targets slow down when they are nearly full.
SPARE_SLOTS_FRACTION = 0.5


def choose_by_session(
    table: TargetTable,
    targets: Sequence[RelayTarget],
    session: str,
    data_centre: str,
) -> RelayTarget:
    """Returns the target that caches a session's prompt, unless it is overloaded.

    Prevents several long programs from piling up on one engine: with few slots for
    each engine, a turn does not wait for a slot while another engine has one free.

    All hosts of a data centre rank targets in the same order by rendezvous hashing, so
    a program whose requests move between hosts stays on its engine without a message.
    Targets of the data centre rank first: callers use the hosts of their own data
    centre, so its streams survive a network partition, and long prompts stay within it.
    """
    by_name = {target.name: target for target in targets}
    mean = _mean_load(table, targets)
    ranked = rendezvous(session, by_name)
    ranked.sort(key=lambda name: by_name[name].data_centre != data_centre)
    for name in ranked:
        if not _is_overloaded(table, by_name[name], mean):
            return by_name[name]
    return by_name[min(ranked, key=table.load)]


def choose_by_program(
    table: TargetTable,
    targets: Sequence[RelayTarget],
    program: str,
    placed: str,
    data_centre: str,
) -> RelayTarget:
    """Returns the target that serves a program, or the one to serve it from now on.

    For the load pattern of bursts, and of targets that end, are replaced or are added
    under load. A new program goes where the fewest requests are. It stays there, so its
    prompt is computed once, also when the set of targets changes; only a target that is
    overloaded loses it.

    Args:
        table: The targets and their load.
        targets: Those to choose from.
        program: The program; breaks ties between equally loaded targets.
        placed: Name of the target that served its last turn; empty if unknown.
        data_centre: Data centre of this host, whose targets are preferred.
    """
    mean = _mean_load(table, targets)
    for target in targets:
        if target.name == placed and not _is_overloaded(table, target, mean):
            return target
    by_name = {target.name: target for target in targets}
    far_load = FAR_MARGIN + FAR_FACTOR * mean

    def cost(name: str) -> float:
        far = by_name[name].data_centre != data_centre
        return table.load(name) + far * far_load

    return by_name[min(rendezvous(program, by_name), key=cost)]


def _mean_load(table: TargetTable, targets: Sequence[RelayTarget]) -> float:
    return sum(table.load(target.name) for target in targets) / len(targets)


def _is_overloaded(table: TargetTable, target: RelayTarget, mean: float) -> bool:
    limit = min(mean * OVERLOAD_FACTOR + OVERLOAD_MARGIN, target.slots - 1)
    return table.load(target.name) > max(mean, limit)


def choose_least_loaded(
    table: TargetTable,
    targets: Sequence[RelayTarget],
    data_centre: str,
    request: str,
    affinity_host: str | None = None,
) -> RelayTarget:
    """Returns a target of ``data_centre`` with spare slots, or the least loaded one.

    For the load pattern of a data centre that is cut off under load: a call to another
    data centre is then lost, and one that may not be repeated ends its program.

    Args:
        table: The targets and their load.
        targets: Those to choose from.
        data_centre: Data centre of this host.
        request: Id of the request; breaks ties between equally loaded targets.
        affinity_host: Name of this host if it has few requests, else ``None``. Such a
            host keeps to one target of its data centre, chosen by hashing its name,
            while that target is less than half full, where a request runs as fast as on
            an empty one. In a large fleet, requests spread over all targets would
            nearly all need a new connection.
    """
    if affinity_host is not None:
        with_spare_slots = {
            target.name: target
            for target in targets
            if target.data_centre == data_centre
            and table.load(target.name) < SPARE_SLOTS_FRACTION * target.slots
        }
        if with_spare_slots:
            return with_spare_slots[highest_ranked(affinity_host, with_spare_slots)]

    def cost(target: RelayTarget) -> tuple[float, bool, float]:
        filled = table.load(target.name) / max(1, target.slots)
        crowded = max(0.0, filled - SPARE_SLOTS_FRACTION)
        return crowded, target.data_centre != data_centre, filled

    best = min(cost(target) for target in targets)
    least_loaded = {target.name: target for target in targets if cost(target) == best}
    return least_loaded[highest_ranked(request, least_loaded)]
