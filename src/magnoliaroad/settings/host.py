"""Settings of an entry host."""

from typing import NamedTuple

from magnoliaroad.config.settings import ConfigSettings
from magnoliaroad.entry.listen import ListenSettings
from magnoliaroad.entry.settings import EntrySettings
from magnoliaroad.groups.settings import GroupSettings
from magnoliaroad.keys.settings import KeySettings
from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.logs.settings import LogSettings
from magnoliaroad.membership.settings import MembershipSettings
from magnoliaroad.memory.settings import MemorySettings
from magnoliaroad.once.settings import OnceSettings
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.programs.settings import ProgramSettings
from magnoliaroad.quarantine.settings import QuarantineSettings
from magnoliaroad.routing.settings import RoutingSettings
from magnoliaroad.store.settings import StoreSettings
from magnoliaroad.targets.settings import TargetSettings

# Memory of a front end, in megabytes: ten of the largest bodies may arrive at once.
DEFAULT_LIMIT_MB = 1024


class HostSettings(NamedTuple):
    """All settings of an entry host.

    Attributes:
        name: Unique name of the host.
        data_centre: Data centre that the host is in.
        listen: Address and ports to listen on.
        store: The platform's key-value service.
        data_folder: Folder for bulk data; with ``None`` (JSON ``null``), nothing is
            stored on disk.
    """

    name: str
    data_centre: str
    listen: ListenSettings
    store: StoreSettings
    data_folder: str | None = None
    peers: PeerSettings = PeerSettings()
    config: ConfigSettings = ConfigSettings()
    keys: KeySettings = KeySettings()
    membership: MembershipSettings = MembershipSettings()
    groups: GroupSettings = GroupSettings()
    limits: LimitSettings = LimitSettings()
    programs: ProgramSettings = ProgramSettings()
    once: OnceSettings = OnceSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    routing: RoutingSettings = RoutingSettings()
    targets: TargetSettings = TargetSettings()
    entry: EntrySettings = EntrySettings()
    logs: LogSettings = LogSettings()
    memory: MemorySettings = MemorySettings(DEFAULT_LIMIT_MB)
