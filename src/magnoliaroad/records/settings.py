"""Settings of record hosts and their clients."""

from typing import NamedTuple

# Number of record hosts up to which they write without extra delay, and the maximum age
# at which any of them writes, as a multiple of ``store_after_s``.
MAX_HOSTS_WITHOUT_DELAY = 8
MAX_DELAY_FACTOR = 2.0


class RecordSettings(NamedTuple):
    """Storage of records until the platform's store holds them.

    Attributes:
        lost_hosts: Number of record hosts that may be lost at once with their disks, as
            given by the platform.
        store_after_s: Age at which the first host writes a record to the store; a
            higher value gives larger batches.
        partner_after_s: Age at which a partner writes a record to the store, unless it
            was notified that the store holds it.
        batch_bytes: Maximum bytes of records in one call on the store, whose values are
            at most 1 MB.
        batch_count: Maximum number of records in one call; the store's limit.
        held_bytes: Maximum memory for cached records that the store already holds.
        pending_bytes: Maximum bytes of records that the store does not hold yet; beyond
            it, new records are refused.
        segment_bytes: Size at which a new segment file of the journal is started.
        call_s: Time after which a relay host no longer waits for a record host alone;
            ten syncs of a slow disk.
        reads: Most records that a relay host reads at the same time from hosts, and as
            many from the store; with those of the largest size some 5 MB.
        late_s: Longest wait for the reply of a record host that is asked to keep a
            record: as long as the end of a turn may be held back for it.
        last_copy_s: Time limit of a relay host's writing of a record to the store if
            too few record hosts have synced it: two calls of a slow store, within the
            time that a caller waits for the end of its turn.
        silent_s: Time without a heartbeat after which a record host no longer counts as
            live; it gets no new records and is asked for records after live ones.
        here_interval_s: Interval between heartbeats of a record host.
        mark_s: Time for which a record host that fails keeps lookups of unknown records
            uncertain, as the only copies of a record may be on its disk. Two thirds of
            it, what is left before a renewal, are more than the time for which a turn
            may be continued.
        help_s: Timeout of a call that another relay host makes on behalf of this one.
        list_interval_s: Interval between reads of the list of hosts.
    """

    lost_hosts: int = 1
    store_after_s: float = 1.0
    partner_after_s: float = 3.0
    batch_bytes: int = 600_000
    batch_count: int = 32
    held_bytes: int = 24_000_000
    pending_bytes: int = 60_000_000
    segment_bytes: int = 2_000_000
    call_s: float = 0.25
    reads: int = 16
    late_s: float = 2.0
    last_copy_s: float = 1.0
    silent_s: float = 1.4
    here_interval_s: float = 0.4
    mark_s: float = 180.0
    help_s: float = 0.6
    list_interval_s: float = 45.0

    def delay_s(self, hosts: int) -> float:
        """Returns the extra delay before records are due with ``hosts`` record hosts.

        With many record hosts and few records on each, every host would make one call
        on the store per second. A partner still writes before another ``lost_hosts``
        disks may be lost: 6 s on the users' deployments of that size.
        """
        factor = min(MAX_DELAY_FACTOR, max(1.0, hosts / MAX_HOSTS_WITHOUT_DELAY))
        return self.store_after_s * (factor - 1.0)

    @property
    def copies(self) -> int:
        """Number of disks that hold a record: one more than may be lost, minimum 2."""
        return max(2, self.lost_hosts + 1)
