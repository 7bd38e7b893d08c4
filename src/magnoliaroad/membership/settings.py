"""Settings of membership."""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """How a host announces itself and discovers others.

    Attributes:
        lease_s: Time to live of the host's lease in the store.
        refresh_interval_s: Time between renewals of the lease.
        renewals_per_s: Limit on renewals of all hosts together; in a fleet that would
            exceed it, leases and the time between renewals are longer.
        poll_interval_s: Time between requests to the platform or to a peer.
        watch_s: Longest time that one watch call stays open.
        pollers: Number of hosts of a data centre that watch the store and poll the
            platform's list.
        heard_s: Time for which a host counts as live after its last report.
        host_list_url: URL of the platform's list; empty when there is none.
        host_list_timeout_s: Longest wait for that list.
    """

    lease_s: float = 10.0
    refresh_interval_s: float = 3.0
    renewals_per_s: float = 40.0
    poll_interval_s: float = 0.8
    watch_s: float = 3.0
    pollers: int = 2
    heard_s: float = 6.0
    host_list_url: str = ""
    host_list_timeout_s: float = 0.7

    def refresh_s(self, hosts: int) -> float:
        """Returns the time between renewals in a fleet of ``hosts``."""
        return max(self.refresh_interval_s, hosts / self.renewals_per_s)

    def time_to_live_s(self, hosts: int) -> float:
        """Returns the time to live of a lease in a fleet of ``hosts``."""
        return self.lease_s * self.refresh_s(hosts) / self.refresh_interval_s
