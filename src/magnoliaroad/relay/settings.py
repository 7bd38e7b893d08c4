"""Settings of a relay host."""

from typing import NamedTuple

from magnoliaroad.logs.settings import LogSettings
from magnoliaroad.peers.settings import PeerSettings
from magnoliaroad.quarantine.settings import QuarantineSettings
from magnoliaroad.records.settings import RecordSettings
from magnoliaroad.store.settings import StoreSettings


class RelayListen(NamedTuple):
    """Addresses ``ip:port`` to listen on.

    Attributes:
        callers: For callers; empty on a host that only keeps records.
        ready: For the balancer's question whether the host is ready.
        peers: For other hosts.
        metrics: For metrics.
    """

    peers: str
    metrics: str
    callers: str = ""
    ready: str = ""


class TargetTiming(NamedTuple):
    """Time limits towards targets.

    Attributes:
        connect_timeout_s: Longest wait for a connection; a hundred times a round
            trip between data centres.
        safe_first_byte_s: Wait for the start of a repeatable answer after which
            another target is asked, if the objective is shorter than that.
        idle_s: Idle time after which a pooled connection is not used again; below
            the least idle timeout of targets.
        margin_s: Taken off the time limit passed on, for the way back.
    """

    connect_timeout_s: float = 0.4
    safe_first_byte_s: float = 0.4
    idle_s: float = 4.0
    margin_s: float = 0.02


class TurnSettings(NamedTuple):
    """How turns and budgets are kept.

    Attributes:
        cache_bytes: Most memory for turns that were read or written lately.
        part_bytes: Largest record of a chain that is written anew; well below the
            store's 1 MB.
        budget_retention_s: Least time that a program's budget is kept.
        store_patience_s: Longest wait for a turn to be kept or found.
        claim_s: Longest wait for a claim of a budget; several slow answers of the
            store, and well within what callers wait for the start of an answer.
        claim_call_s: Longest wait for one answer of the store to a claim; above its
            answers when it is slow (0.24 s), so that one lost answer leaves time to ask
            again.
        claim_gap_s: Least time between two calls of a host that write claims; those
            that come meanwhile share the next. Less than an engine needs to read a
            prompt that it does not hold.
    """

    cache_bytes: int = 16_000_000
    part_bytes: int = 300_000
    budget_retention_s: float = 90.0
    store_patience_s: float = 2.0
    claim_s: float = 0.7
    claim_call_s: float = 0.3
    claim_gap_s: float = 0.06


class QuotaSettings(NamedTuple):
    """How the hosts share a team's limit.

    Attributes:
        slack: Requests beyond a limit that all hosts together may admit while
            they have not heard of each other's; half of what operators tolerate.
        least_share: Least part of the remaining tokens that one host may use.
        silent_s: Silence after which a host counts as out of contact.
        program_rate: Requests a second of a running program: on the users' days a
            program makes about ten in 2.3 s, waits for answers included.
        horizon_s: Time in which spare tokens may be used up by programs under way; a
            usual program's length.
        longest_wait_s: Longest time that a request of a program under way waits for
            its team's tokens; below the time after which callers give up.
        start_burst: Part of the burst that a host assumes to be left at its start.
    """

    slack: float = 10.0
    least_share: float = 0.2
    silent_s: float = 0.8
    program_rate: float = 4.5
    horizon_s: float = 1.5
    longest_wait_s: float = 0.4
    start_burst: float = 0.3


class FleetSettings(NamedTuple):
    """How hosts hear of each other.

    Attributes:
        beat_interval_s: Time between a host's messages to its peers.
        lease_s: Time after which a silent host's entry leaves the store. Each
            renewal is paid for; a host that stops takes its entry away.
        list_interval_s: Time between readings of the list of hosts while some on it
            are silent.
    """

    beat_interval_s: float = 0.1
    lease_s: float = 45.0
    list_interval_s: float = 15.0


class DrainSettings(NamedTuple):
    """How a host stops.

    Attributes:
        notice_s: Time for the balancer to notice; two of its questions a second
            apart and their answers.
        limit_s: Longest time from the signal to the end.
    """

    notice_s: float = 2.6
    limit_s: float = 7.6


class FollowSettings(NamedTuple):
    """How changes in the store are followed.

    Attributes:
        watch_s: Longest time that one watch call stays open at the first of the hosts
            that follow the store. A watch may miss changes until it ends, and changes
            are to be in force within 2 s.
        long_watch_s: The same at the others, one in each data centre.
        retry_s: Wait after a failed call; doubles up to ``retry_limit_s``.
        retry_limit_s: Longest wait after failed calls.
        lapse_grace_s: Time that a target entry may be missing after the store was
            away; the platform's figure for entries to be back.
    """

    watch_s: float = 1.5
    long_watch_s: float = 8.0
    retry_s: float = 0.1
    retry_limit_s: float = 0.8
    lapse_grace_s: float = 1.9


# Targets also crash for other reasons, so one crash more than behind the product's own
# door is waited for; the platform's bounds count from the third. The platform's
# requests hardly ever come again after they have ended well.
RELAY_QUARANTINE = QuarantineSettings(crashes_to_block=3, remembered=2_000)


class RelaySettings(NamedTuple):
    """Everything a relay host needs to know before it starts.

    Attributes:
        name: Unique name of the host.
        data_centre: Data centre the host stands in.
        listen: Addresses to listen on.
        store: The platform's key-value service.
        data_folder: Folder for bulk data; ``None`` keeps nothing on disk.
    """

    name: str
    data_centre: str
    listen: RelayListen
    store: StoreSettings
    data_folder: str | None = None
    peers: PeerSettings = PeerSettings()
    targets: TargetTiming = TargetTiming()
    turns: TurnSettings = TurnSettings()
    records: RecordSettings = RecordSettings()
    quota: QuotaSettings = QuotaSettings()
    fleet: FleetSettings = FleetSettings()
    follow: FollowSettings = FollowSettings()
    drain: DrainSettings = DrainSettings()
    quarantine: QuarantineSettings = RELAY_QUARANTINE
    logs: LogSettings = LogSettings()
