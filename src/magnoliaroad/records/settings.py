"""Settings of records."""

from typing import NamedTuple

# Record hosts that write without delay, and the longest delay of more, as a multiple of
# the age at which they write.
MAX_HOSTS_WITHOUT_DELAY = 8
MAX_DELAY_FACTOR = 2.0


class RecordSettings(NamedTuple):
    """How records are kept until the store holds them.

    Attributes:
        lost_hosts: Record hosts that may be lost at once with their disks; the
            platform's figure.
        store_after_s: Age at which the first host writes a record to the store;
            longer batches more.
        partner_after_s: Age at which the partner does so if it heard nothing.
        batch_bytes: Most bytes of records in one call on the store, whose values are
            at most 1 MB.
        batch_count: Most records in one call; the store's limit.
        held_bytes: Most memory for records that the store holds already.
        pending_bytes: Most bytes of records that the store does not hold; more are
            refused.
        segment_bytes: Size at which a new file of the journal is begun.
        call_s: Longest wait of a relay host for a record host; ten syncs of a slow
            disk.
        silent_s: Silence after which a record host is asked last.
        here_interval_s: Time between a record host's messages that it is there.
        help_s: Longest wait for another relay host that does a call for this one.
        list_interval_s: Time between readings of the list of hosts.
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
    silent_s: float = 1.4
    here_interval_s: float = 0.4
    help_s: float = 0.6
    list_interval_s: float = 45.0

    def delay_s(self, hosts: int) -> float:
        """Returns what ``hosts`` record hosts add to the ages above.

        Answers the load pattern of many record hosts with few records each: every one
        would write a call a second. The partner still writes before as many disks may
        be lost once more: 6 s on the users' deployments with so many.
        """
        factor = min(MAX_DELAY_FACTOR, max(1.0, hosts / MAX_HOSTS_WITHOUT_DELAY))
        return self.store_after_s * (factor - 1.0)

    @property
    def copies(self) -> int:
        """Disks that hold a record; one more than may be lost, and at least two."""
        return max(2, self.lost_hosts + 1)
