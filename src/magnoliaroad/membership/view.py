"""The membership view: host records of the store, merged with hosts' reports."""

import collections
from collections.abc import Iterable

from magnoliaroad.decoding import decode_entries
from magnoliaroad.membership.messages import HostReport, MembershipReply
from magnoliaroad.membership.record import HOSTS_PREFIX, HostRecord, unpack_record
from magnoliaroad.store import WatchBatch

MAX_CHANGE_LOG_ENTRIES = 512


class MembershipView:
    """Records of hosts by name.

    A record in the store is valid until it is deleted. A report, which a host sent to
    a peer, overrides the host's stored record for ``heard_s`` or until the stored
    record changes, so that hosts which start or drain while the store is down are
    found.

    Args:
        me: Record of this host.
        heard_s: Time for which a report is valid.
    """

    def __init__(self, me: HostRecord, heard_s: float) -> None:
        self.me = me
        self.heard_s = heard_s
        self.revision = 0
        self._stored: dict[str, HostRecord] = {}
        self._reports: dict[str, tuple[HostRecord, float]] = {}
        self._change_log: collections.deque[tuple[int, str]] = collections.deque()
        self._change_log_start = 0

    def hosts(self, now: float) -> dict[str, HostRecord]:
        """Returns the records that are valid at ``now``, by host name."""
        found = dict(self._stored)
        found.update(self._recent_reports(now))
        found[self.me.host] = self.me
        return found

    def apply_snapshot(self, batch: WatchBatch) -> None:
        """Replaces the stored records by a snapshot of the store."""
        records = decode_entries(batch.changed, unpack_record)
        self._replace(batch.revision, records)

    def apply_changes(self, batch: WatchBatch) -> None:
        """Applies changes that a watch of the store returned."""
        if batch.revision < self.revision:
            return
        records = decode_entries(batch.changed, unpack_record)
        deleted = [key.removeprefix(HOSTS_PREFIX) for key in batch.deleted]
        self._apply(batch.revision, records, deleted)

    def add_report(self, record: HostRecord, now: float) -> None:
        """Adds a report of ``record`` from its host, unless a newer one is known."""
        _, reported_at = self._reports.get(record.host, (record, float("-inf")))
        if now >= reported_at and record.host != self.me.host:
            self._reports[record.host] = (record, now)

    def reply(self, revision: int, now: float) -> MembershipReply:
        """Returns the changes after ``revision``, or a snapshot if some are not kept.

        Args:
            revision: Revision of the store up to which the peer has the records.
            now: Current time of the event loop, in seconds.
        """
        stored = self._stored
        reports = [
            HostReport(record, now - self._reports[host][1])
            for host, record in self._recent_reports(now).items()
            if stored.get(host) != record
        ]
        if revision < self._change_log_start or revision > self.revision:
            records = tuple(stored.values())
            return MembershipReply(self.revision, True, records, (), tuple(reports))
        names = {host for rev, host in self._change_log if rev > revision}
        changed = tuple(stored[host] for host in names if host in stored)
        deleted = tuple(host for host in names if host not in stored)
        return MembershipReply(self.revision, False, changed, deleted, tuple(reports))

    def apply_reply(self, reply: MembershipReply, now: float) -> None:
        """Applies a peer's reply."""
        for report in reply.reports:
            self.add_report(report.record, now - report.age_s)
        if reply.revision < self.revision:
            return
        if reply.full:
            self._replace(reply.revision, reply.changed)
        else:
            self._apply(reply.revision, reply.changed, reply.deleted)

    def _replace(self, revision: int, records: Iterable[HostRecord]) -> None:
        if revision < self.revision:
            return
        kept = {record.host for record in records}
        deleted = [host for host in self._stored if host not in kept]
        self._apply(revision, records, deleted)

    def _apply(
        self, revision: int, records: Iterable[HostRecord], deleted: Iterable[str]
    ) -> None:
        for record in records:
            if self._stored.get(record.host) != record:
                self._stored[record.host] = record
                self._append_change(revision, record.host)
        for host in deleted:
            if self._stored.pop(host, None) is not None:
                self._append_change(revision, host)
        while len(self._change_log) > MAX_CHANGE_LOG_ENTRIES:
            self._change_log_start = self._change_log.popleft()[0]
        if not self.revision:
            self._change_log_start = revision
        self.revision = revision

    def _append_change(self, revision: int, host: str) -> None:
        self._change_log.append((revision, host))
        self._reports.pop(host, None)

    def _recent_reports(self, now: float) -> dict[str, HostRecord]:
        oldest = now - self.heard_s
        return {h: record for h, (record, at) in self._reports.items() if at > oldest}
