"""Which target a request goes to."""

from collections.abc import Sequence

from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.rendezvous import first_choice, rendezvous

# A session leaves its target when that has this factor and this many requests more
# than the mean, or no slot left. Reading a history anew costs about as much as a batch
# that is a third larger.
OVERLOAD_FACTOR = 1.3
OVERLOAD_MARGIN = 4
# Part of a plain target's slots up to which it has room to spare; some targets slow
# down when they are nearly full.
SPARE_SLOTS_FRACTION = 0.5


def by_session(
    table: TargetTable,
    targets: Sequence[RelayTarget],
    session: str,
    data_centre: str,
) -> RelayTarget:
    """Returns the target that has a session's prompt in memory, unless crowded.

    Answers the load patterns of several long programs on one engine, and of engines
    with few slots: a turn does not wait for a slot while another engine has one free.

    All hosts of a data centre rank targets alike, so a program that moves between
    them stays at its engine without a message. Targets of the data centre come first:
    callers come to their own, so its streams outlive a cut of its links, and long
    prompts stay within it.
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
    """Returns the target with most room; among least_loaded one of ``data_centre``.

    Args:
        table: The targets and their load.
        targets: Those to choose from.
        data_centre: Where this host stands.
        request: Id of the request, by which least_loaded are told apart.
        affinity_host: Name of a host with few requests: it takes the target of the data
            centre that is usual for it while that is less than half full. A request
            runs there as fast as on an empty one. Answers the load pattern of a large
            fleet: spread over all targets, nearly every request of a host would need a
            new connection.
    """
    if affinity_host is not None:
        with_spare_slots = {
            target.name: target
            for target in targets
            if target.data_centre == data_centre
            and table.load(target.name) < SPARE_SLOTS_FRACTION * target.slots
        }
        if with_spare_slots:
            return with_spare_slots[first_choice(affinity_host, with_spare_slots)]

    def cost(target: RelayTarget) -> tuple[float, bool]:
        filled = table.load(target.name) / max(1, target.slots)
        return filled, target.data_centre != data_centre

    best = min(cost(target) for target in targets)
    least_loaded = {target.name: target for target in targets if cost(target) == best}
    return least_loaded[first_choice(request, least_loaded)]
