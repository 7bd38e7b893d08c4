"""Settings of a relay host."""

from typing import NamedTuple

from magnoliaroad.hedging.settings import HedgingSettings
from magnoliaroad.logs.settings import LogSettings
from magnoliaroad.memory.settings import MemorySettings
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.quarantine.settings import QuarantineSettings
from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.slow_start.settings import SlowStartSettings
from magnoliaroad.store.settings import StoreSettings
from magnoliaroad.target_model.settings import PlacementSettings
from magnoliaroad.waiting.settings import WaitingSettings


class RelayListen(NamedTuple):
    """Addresses ``ip:port`` to listen on.

    Attributes:
        callers: For callers' requests; empty on a host that only stores records.
        ready: For the balancer's readiness checks.
        peers: For connections of other hosts.
        metrics: For the metrics endpoint.
    """

    peers: str
    metrics: str
    callers: str = ""
    ready: str = ""


class TargetTiming(NamedTuple):
    """Time limits of requests to targets.

    Attributes:
        connect_timeout_s: Longest wait for a connection; a hundred round trips
            between data centres.
        safe_first_byte_s: Least wait for the first byte of an answer to an idempotent
            request before another target is tried; half the remaining time if that is
            longer.
        idle_s: Idle time after which a pooled connection is not used again; below
            the shortest idle timeout of targets.
        margin_s: Subtracted from the time limit that targets get, for the way back of
            the answer.
    """

    connect_timeout_s: float = 0.4
    safe_first_byte_s: float = 0.4
    idle_s: float = 4.0
    margin_s: float = 0.02


class TurnSettings(NamedTuple):
    """How turns and budgets are stored.

    Attributes:
        cache_bytes: Most memory for turns that were read or written recently.
        part_bytes: Largest record of a chain that is written again; well below the
            store's limit of 1 MB.
        small_bytes: Largest record whose writing never waits for that of others.
        writing_bytes: Most bytes of larger records that are written at the same time;
            each is held several times in calls on hosts and the store.
        chain_reads: Records of a chain that are read at the same time.
        max_output_bytes: Most output of one turn that is kept; a longer one is cut off.
        budget_retention_s: Shortest time that a program's budget is stored after a
            claim; as long as one lease of the store allows.
        budget_return_s: Shortest time that it is stored after a turn. Longer than
            programs may pause.
        store_patience_s: Longest wait for a turn to be stored or loaded.
        claim_part: Part of a program's unclaimed tokens that a host claims at once.
            With more, programs bear longer outages of the store, and lose more when
            their home host is lost.
        claim_s: Longest wait for a claim on a budget; covers several slow answers of
            the store, and is well within the time that callers wait for a first byte.
        claim_call_s: Longest wait for one answer of the store to a claim; longer than
            its slow answers take (0.24 s), and short enough for a retry after a lost
            answer.
        claim_gap_s: Shortest time between two calls of a host that write claims; claims
            that arrive meanwhile share the next call. Shorter than an engine takes to
            compute a prompt that it has not cached.
    """

    cache_bytes: int = 16_000_000
    part_bytes: int = 300_000
    small_bytes: int = 65_536
    writing_bytes: int = 3_000_000
    chain_reads: int = 16
    max_output_bytes: int = 4_194_304
    budget_retention_s: float = 285.0
    budget_return_s: float = 90.0
    store_patience_s: float = 2.0
    claim_part: float = 0.5
    claim_s: float = 0.7
    claim_call_s: float = 0.3
    claim_gap_s: float = 0.06


class QuotaSettings(NamedTuple):
    """How the hosts share a team's rate limit.

    Attributes:
        slack: Requests beyond a limit that all hosts together may admit before they
            receive each other's counts; half of what operators tolerate.
        least_share: Smallest part of the remaining tokens that one host may use.
        silent_s: Time without a heartbeat after which a host counts as unreachable.
        program_rate: Requests a second of a running program: in the users' traffic a
            program makes about ten in 2.3 s, waits for answers included.
        horizon_s: Time over which running programs may use up spare tokens; the length
            of a usual program.
        longest_wait_s: Longest time that a request of a running program waits for its
            team's tokens; below the time after which callers give up.
        start_burst: Part of the burst that a host assumes to be left when it starts.
    """

    slack: float = 10.0
    least_share: float = 0.2
    silent_s: float = 0.8
    program_rate: float = 4.5
    horizon_s: float = 1.5
    longest_wait_s: float = 0.4
    start_burst: float = 0.3


class FleetSettings(NamedTuple):
    """How hosts exchange their state and list each other.

    Attributes:
        beat_interval_s: Time between a host's heartbeats to its peers.
        lease_s: Lease of a host's entry in the store, which expires if the host fails.
            Each renewal is paid for; a host that stops deletes its entry.
        list_interval_s: Time between reads of the list of hosts while some on it are
            silent.
    """

    beat_interval_s: float = 0.1
    lease_s: float = 45.0
    list_interval_s: float = 15.0


class DrainSettings(NamedTuple):
    """How a host drains before it stops.

    Attributes:
        notice_s: Time for the balancer to notice that the host drains: two readiness
            checks one second apart and their answers.
        limit_s: Longest time from the signal until the drain ends.
    """

    notice_s: float = 2.6
    limit_s: float = 7.6


class FollowSettings(NamedTuple):
    """How changes in the store are followed.

    Attributes:
        watch_s: Longest time that one watch call stays open at the first of the hosts
            that watch the store. A watch may miss changes until it ends, and changes
            must be in force within 2 s.
        long_watch_s: The same at the other hosts that watch, one in each data centre.
        retry_s: Wait after a failed call; doubles up to ``retry_limit_s``.
        retry_limit_s: Longest wait after failed calls.
        lapse_grace_s: Grace period of a target's entry that is missing after the store
            was unavailable; the platform states this as the time for entries to return.
    """

    watch_s: float = 1.5
    long_watch_s: float = 8.0
    retry_s: float = 0.1
    retry_limit_s: float = 0.8
    lapse_grace_s: float = 1.9


# Targets also crash for other reasons, so one crash more than for the product's own API
# is needed; the platform's bounds count from the third. The platform's requests are
# hardly ever repeated after they have succeeded.
RELAY_QUARANTINE = QuarantineSettings(crashes_to_block=3, remembered=2_000)


class RelaySettings(NamedTuple):
    """All settings of a relay host.

    Attributes:
        name: Unique name of the host.
        data_centre: Data centre of the host.
        listen: Addresses to listen on.
        store: The platform's key-value service.
        data_folder: Folder for data on disk; ``None`` stores nothing on disk.
        data_centres: All data centres of the installation. Each has a part of every
            budget for times without the store; none if it is empty.
        regions: Region of each data centre; needed only where a route or a team states
            regions.
        requirements: What the deployment demands, by the names of its platform, whose
            adapter reads them.
        first_start: Whether the whole installation starts for the first time.
    """

    name: str
    data_centre: str
    listen: RelayListen
    store: StoreSettings
    data_folder: str | None = None
    data_centres: tuple[str, ...] = ()
    regions: dict[str, str] = {}
    requirements: tuple[str, ...] = ()
    first_start: bool = False
    peers: PeerSettings = PeerSettings()
    targets: TargetTiming = TargetTiming()
    turns: TurnSettings = TurnSettings()
    records: RecordSettings = RecordSettings()
    quota: QuotaSettings = QuotaSettings()
    slow_start: SlowStartSettings = SlowStartSettings()
    placement: PlacementSettings = PlacementSettings()
    waiting: WaitingSettings = WaitingSettings()
    hedging: HedgingSettings = HedgingSettings()
    fleet: FleetSettings = FleetSettings()
    follow: FollowSettings = FollowSettings()
    drain: DrainSettings = DrainSettings()
    memory: MemorySettings = MemorySettings()
    quarantine: QuarantineSettings = RELAY_QUARANTINE
    logs: LogSettings = LogSettings()
