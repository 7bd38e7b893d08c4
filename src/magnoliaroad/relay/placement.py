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
    mean = sum(table.load(name) for name in by_name) / len(by_name)
    ranked = rendezvous(session, by_name)
    ranked.sort(key=lambda name: by_name[name].data_centre != data_centre)
    for name in ranked:
        limit = mean * OVERLOAD_FACTOR + OVERLOAD_MARGIN
        if table.load(name) <= max(mean, min(limit, by_name[name].slots - 1)):
            return by_name[name]
    return by_name[min(ranked, key=table.load)]


def choose_least_loaded(
    table: TargetTable,
    targets: Sequence[RelayTarget],
    data_centre: str,
    request: str,
    affinity_host: str | None = None,
) -> RelayTarget:
    """Returns the least loaded target; among equals one of ``data_centre``.

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

    def cost(target: RelayTarget) -> tuple[float, bool]:
        filled = table.load(target.name) / max(1, target.slots)
        return filled, target.data_centre != data_centre

    best = min(cost(target) for target in targets)
    least_loaded = {target.name: target for target in targets if cost(target) == best}
    return least_loaded[highest_ranked(request, least_loaded)]
