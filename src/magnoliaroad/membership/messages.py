"""Messages about membership."""

from typing import NamedTuple

from magnoliaroad.membership.departures import Departures
from magnoliaroad.membership.record import HostRecord


class HostReport(NamedTuple):
    """A record that its host sent to a peer, and the time since then."""

    record: HostRecord
    age_s: float


class MembershipRequest(NamedTuple):
    """Requests changes of the host records, and announces the sender.

    Attributes:
        revision: Revision of the store up to which the sender has the records.
        record: Record of the sender.
    """

    TAG = "HostsAsk"

    revision: int
    record: HostRecord


class MembershipReply(NamedTuple):
    """Changes of the host records after the requested revision.

    Attributes:
        revision: Revision of the store up to which the changes go.
        full: Whether ``changed`` is a snapshot of all records.
        changed: Records that are new or different.
        deleted: Hosts whose record was deleted.
        reports: Recent reports of hosts that differ from their stored records.
        departures: Hosts and targets that are leaving or were removed.
        departures_age_s: Time since the platform's list was read; ``None`` when it
            never was.
    """

    TAG = "HostsAnswer"

    revision: int
    full: bool
    changed: tuple[HostRecord, ...] = ()
    deleted: tuple[str, ...] = ()
    reports: tuple[HostReport, ...] = ()
    departures: Departures = Departures()
    departures_age_s: float | None = None
