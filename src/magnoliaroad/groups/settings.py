"""Settings of groups."""

from typing import NamedTuple


class GroupSettings(NamedTuple):
    """Ownership and replication of groups of keys.

    Attributes:
        group_count: Number of groups of each data centre, and of the fleet;
            must not change once the store holds tables.
        copies: Number of hosts, besides the owner, that store a group's
            records.
        poll_interval_s: Time between checks of a data centre's table.
        probe_interval_s: Time between probes of the neighbouring host.
        suspect_after_s: Time without an answer from a host after which its
            groups move.
        copy_timeout_s: Timeout of a call to a copy.
        page_bytes: Size of the pages in which records are copied.
        page_pause_s: Pause between pages when a copy is repaired.
        moves_per_plan: Maximum number of groups moved at once to balance load.
        abandon_after_s: Time after which holders of a data centre's group
            count as lost if the store does not list them.
        stall_limit_s: Pause of this process after which it reads the table
            before it confirms a record as a copy.
        leave_limit_s: Longest wait at shutdown until other hosts hold the
            groups of this one.
        join_limit_s: Longest wait at start until other hosts' groups have copies.
        memory_limit_bytes: Size of all records, as owner and copy, beyond
            which this host accepts no new keys.
        disk_limit_bytes: The same limit if the records are in the data folder.
    """

    group_count: int = 64
    copies: int = 2
    poll_interval_s: float = 0.25
    probe_interval_s: float = 0.5
    suspect_after_s: float = 2.0
    copy_timeout_s: float = 1.0
    page_bytes: int = 500_000
    page_pause_s: float = 0.01
    moves_per_plan: int = 4
    abandon_after_s: float = 60.0
    stall_limit_s: float = 20.0
    leave_limit_s: float = 5.0
    join_limit_s: float = 5.0
    memory_limit_bytes: int = 1_000_000_000
    disk_limit_bytes: int = 20_000_000_000
