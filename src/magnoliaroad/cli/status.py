"""``magnoliaroad status``: shows an overview of the fleet."""

import collections

from magnoliaroad.cli.store_command import EXIT_DONE, EXIT_NOT_EVERYWHERE, StoreCommand
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.keys.withdrawal_store import read_withdrawals
from magnoliaroad.operators import ask_hosts, list_hosts
from magnoliaroad.store import Store


class StatusCommand(StoreCommand):
    """Shows the hosts, data centres, configuration and withdrawn keys."""

    name = "status"
    description = "Show the state of the fleet."

    async def handle_with_store(self, store: Store) -> int:
        """Prints the status; returns 4 if a live host does not serve the revision."""
        accepted = await Publisher(store).read()
        config = accepted.config
        withdrawn = await read_withdrawals(store)
        self.line(
            f"revision {config.revision}: {len(config.teams)} teams,"
            f" {len(config.grants)} keys, {len(config.routes)} routes,"
            f" {len(config.targets)} targets; {len(withdrawn)} keys withdrawn"
        )
        states = await ask_hosts(await list_hosts(store))
        places = collections.Counter(state.record.data_centre for state in states)
        shown = ", ".join(f"{name} {count}" for name, count in sorted(places.items()))
        self.line(f"{len(states)} live hosts: {shown}")
        everywhere = self.show_hosts(states, config.revision)
        return EXIT_DONE if everywhere else EXIT_NOT_EVERYWHERE
