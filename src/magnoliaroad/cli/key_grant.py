"""``magnoliaroad key grant``: grants a new key to a team."""

from cleo.helpers import argument

from magnoliaroad.cli.sheet_apply import SheetApplyCommand
from magnoliaroad.cli.store_command import StoreCommand
from magnoliaroad.config.publisher import Publisher
from magnoliaroad.operators import grant_key
from magnoliaroad.store import Store


class KeyGrantCommand(SheetApplyCommand):
    """Grants a new key without a sheet; sheets applied later keep it."""

    name = "key grant"
    description = "Grant a new key to a team; it is shown once."
    arguments = [
        argument("name", "Public name of the key."),
        argument("team", "Team that it belongs to."),
    ]
    options = [
        *StoreCommand.options,
        SheetApplyCommand.options[-1],
    ]

    async def handle_with_store(self, store: Store) -> int:
        """Grants the key, prints it and reports which hosts serve the revision."""
        name, team = self.argument("name"), self.argument("team")
        records = await self._live_hosts(store)
        granted = await grant_key(Publisher(store, self.author), name, team)
        revision = granted.accepted.head.revision
        self.line(f"revision {revision} accepted: key {name} of team {team}")
        self.line(f"key (shown once): {granted.key}")
        await self._notify_hosts(records, granted.accepted)
        return await self._report_rollout(records, revision)
