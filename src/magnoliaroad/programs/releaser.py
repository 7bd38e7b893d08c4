"""Requests releases of ended programs from engines until they confirm them."""

from collections import defaultdict

from magnoliaroad.config import ConfigService
from magnoliaroad.groups import Groups
from magnoliaroad.programs import metrics
from magnoliaroad.programs.messages import ReleaseReply, ReleaseRequest
from magnoliaroad.programs.owner import ProgramOwner
from magnoliaroad.programs.owner_client import OwnerClient
from magnoliaroad.programs.settings import ProgramSettings


def target_group(groups: Groups, target: str, data_centre: str) -> str:
    """Returns the group whose owner alone sends release requests to ``target``."""
    return groups.group_of(f"target/{target}", data_centre)


class Releaser:
    """Requests the releases of ended programs in this host's groups.

    A release is due until its confirmation is recorded, so a new owner continues
    it. Releases of single-call programs are lost with this host; the sweep of the
    engines finds those programs.
    """

    def __init__(
        self,
        cfg: ProgramSettings,
        groups: Groups,
        config: ConfigService,
        owner: ProgramOwner,
        client: OwnerClient,
    ) -> None:
        self.cfg = cfg
        self._groups = groups
        self._config = config
        self._owner = owner
        self._client = client
        self._single_releases: dict[str, str] = {}

    def add_single(self, program: str, target: str) -> None:
        """Adds the release of a single-call program that has ended on ``target``."""
        if target:
            self._single_releases[program] = target

    async def release_due(self) -> None:
        """Requests all due releases once."""
        due = self._due_releases()
        metrics.PENDING_RELEASES.set(
            {}, sum(len(programs) for programs in due.values())
        )
        for target, programs in due.items():
            for program in await self._request_release(target, tuple(sorted(programs))):
                self._single_releases.pop(program, None)
                await self._owner.record_release(program, target)

    def _due_releases(self) -> dict[str, set[str]]:
        due: dict[str, set[str]] = defaultdict(set)
        for program, target in self._single_releases.items():
            due[target].add(program)
        for table in self._owner.tables():
            for program in table.programs.values():
                if program.ended and program.open_turn is None:
                    for target in program.targets:
                        due[target].add(program.program_id)
        return due

    async def _request_release(
        self, name: str, programs: tuple[str, ...]
    ) -> tuple[str, ...]:
        target = self._config.current.targets.get(name)
        if target is None:
            return programs
        owner = self._groups.owner_of(
            target_group(self._groups, name, target.data_centre)
        )
        if owner is None:
            return ()
        request = ReleaseRequest(name, programs)
        reply = await self._client.call(owner.host, request, self.cfg.engine_timeout_s)
        return reply.programs if isinstance(reply, ReleaseReply) else ()
