"""Which target a request goes to."""

from collections.abc import Sequence

from magnoliaroad.relay.target import RelayTarget
from magnoliaroad.relay.target_table import TargetTable
from magnoliaroad.rendezvous import rendezvous

# A session leaves its target when that has this factor and this many requests more
# than the mean. Answers the load pattern of several long programs on one engine:
# reading a history anew costs about as much as a batch that is a third larger.
CROWDED_FACTOR = 1.3
CROWDED_MARGIN = 4


def by_session(
    table: TargetTable,
    targets: Sequence[RelayTarget],
    session: str,
    data_centre: str,
) -> RelayTarget:
    """Returns the target that has a session's prompt in memory, unless crowded.

    All hosts of a data centre rank targets alike, so a program that moves between
    them stays at its engine without a message. Targets of the data centre come first:
    callers come to their own, so its streams outlive a cut of its links, and long
    prompts stay within it.
    """
    by_name = {target.name: target for target in targets}
    mean = sum(table.load(name) for name in by_name) / len(by_name)
    limit = mean * CROWDED_FACTOR + CROWDED_MARGIN
    ranked = rendezvous(session, by_name)
    ranked.sort(key=lambda name: by_name[name].data_centre != data_centre)
    for name in ranked:
        if table.load(name) <= limit:
            return by_name[name]
    return by_name[ranked[0]]


def by_load(
    table: TargetTable,
    targets: Sequence[RelayTarget],
    data_centre: str,
    key: str,
) -> RelayTarget:
    """Returns the target with most room; among equals one of ``data_centre``."""

    def cost(target: RelayTarget) -> tuple[float, bool]:
        filled = table.load(target.name) / max(1, target.slots)
        return filled, target.data_centre != data_centre

    best = min(cost(target) for target in targets)
    equals = {target.name: target for target in targets if cost(target) == best}
    return equals[rendezvous(key, equals)[0]]
