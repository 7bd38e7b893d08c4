"""Keeps a host's share tables up to date and writes changes to its own table."""

from collections.abc import Iterable, Mapping
from typing import Any

from magnoliaroad.limits.changes import next_table
from magnoliaroad.limits.liveness import Liveness
from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.limits.share_lease import ShareLease
from magnoliaroad.limits.share_messages import (
    ShareTableReply,
    ShareTableRequest,
    ShareTableUpdate,
)
from magnoliaroad.limits.share_store import ShareStore
from magnoliaroad.limits.store_call import StoreCall, StoreOutcome
from magnoliaroad.limits.table import Member, ShareTable
from magnoliaroad.limits.view import ShareView
from magnoliaroad.limits.writers import Writers

SHORT_ROUND_INTERVAL_S = 0.25


class ShareProtocol:
    """Decides which messages to send and which store calls to make.

    Only the first few members of a table, its editors, may change it. While the
    store is down, they can therefore attest that the table is still the newest.

    Args:
        cfg: Settings of the limits.
        me: This process.
        data_centre: Its data centre.

    Attributes:
        view: The known share tables.
        lease: The lease under which this host may use its shares.
        liveness: The live processes of the data centre.
        store: The calls to the store.
        outbox: Messages to send, as pairs of host and message.
        stopping: Whether this host has permanently given up its shares.
    """

    def __init__(self, cfg: LimitSettings, me: Member, data_centre: str) -> None:
        self.cfg = cfg
        self.me = me
        self.data_centre = data_centre
        self.view = ShareView(cfg, me, data_centre)
        self.lease = ShareLease(cfg)
        self.liveness = Liveness(me, cfg.absence_s)
        self.store = ShareStore(cfg, me, self.view)
        self.outbox: list[tuple[str, Any]] = []
        self.stopping = False
        self._writers = Writers(me, cfg.settle_s)
        self._rounds = 0
        self._next_round = float("-inf")
        self._requests: dict[int, tuple[str, float]] = {}
        self._number = 0

    def set_live(self, live: Mapping[str, str], draining: Iterable[str] = ()) -> None:
        """Sets the incarnations of the data centre's live hosts by host name."""
        self.liveness.set_live(live, draining)

    def set_removed_hosts(self, now: float, hosts: Iterable[str]) -> None:
        """Sets the hosts that the platform reports as removed."""
        self._writers.set_removed_hosts(now, hosts)
        self._update_writers(now)

    def stop(self, now: float) -> None:
        """Gives up this host's shares and notifies the hosts that can reassign them."""
        self.stopping = True
        self.lease.release()
        self.liveness.record_stop(self.me)
        self._next_round = now
        for writer in self._writers.other_hosts(self.view.own_table, now):
            self._send_request(now, writer)

    def start_round(self, now: float) -> None:
        """Makes the next ``tick`` start a round."""
        self._next_round = now

    def tick(self, now: float) -> None:
        """Starts a round of confirmations when one is due."""
        if now < self._next_round:
            return
        incomplete = self.view.own_table is None or self.view.possibly_outdated(now)
        interval_s = self.cfg.confirm_interval_s
        self._next_round = now + (SHORT_ROUND_INTERVAL_S if incomplete else interval_s)
        self._rounds += 1
        self._drop_old_requests(now)
        self._update_writers(now)
        own, fresh = self.view.own_table, self.store.is_fresh(now)
        if self._writers.includes_me(own, now) or not fresh or own is None:
            self.store.read(now, self._rounds)
        self._request_tables(now, fresh)

    def on_message(self, now: float, sender: str, message: Any) -> None:
        """Handles a message from another host's protocol."""
        if isinstance(message, ShareTableRequest):
            self._on_request(now, sender, message)
        elif isinstance(message, ShareTableReply):
            self._on_reply(now, sender, message)
        elif isinstance(message, ShareTableUpdate):
            self._adopt_table(now, message.table)

    def on_store_outcome(
        self, now: float, call: StoreCall, outcome: StoreOutcome | None
    ) -> None:
        """Handles the outcome of a store call; ``None`` when it is unknown."""
        revision = self.view.revision
        confirmed_at = self.store.on_outcome(now, call, outcome)
        if self.view.revision != revision:
            self._on_own_table_change(now)
        if confirmed_at is not None and not self.stopping:
            self.lease.confirm(confirmed_at)
        if outcome is not None and self._writers.includes_me(self.view.own_table, now):
            self._write_next_table(now)

    def _request_tables(self, now: float, fresh: bool) -> None:
        writers = self._writers.other_hosts(self.view.own_table, now)
        if fresh and writers:
            writers = [writers[self._rounds % len(writers)]]
        for host in sorted({*writers, *self.view.possibly_outdated(now)}):
            self._send_request(now, host)

    def _send_request(self, now: float, host: str) -> None:
        self._number += 1
        self._requests[self._number] = (host, now)
        revisions = {name: t.revision for name, t in self.view.tables.items()}
        request = ShareTableRequest(
            self._number, self.me.incarnation, revisions, self.stopping
        )
        self.outbox.append((host, request))

    def _drop_old_requests(self, now: float) -> None:
        oldest = now - self.cfg.right_s
        self._requests = {n: r for n, r in self._requests.items() if r[1] > oldest}

    def _on_request(self, now: float, sender: str, request: ShareTableRequest) -> None:
        member = Member(sender, request.incarnation)
        self.liveness.record_message(member, now)
        known = request.revisions.get(self.data_centre, 0)
        self.view.record_known_revision(now, member, known)
        if request.stopped:
            self.liveness.record_stop(member)
            self._next_round = now
        elif self.view.own_table and member not in self.view.own_table.current.members:
            self.liveness.record_join_request(member, now)
            self._next_round = now
        newer = [
            table
            for name, table in self.view.tables.items()
            if table.revision > request.revisions.get(name, 0)
        ]
        reply = ShareTableReply(
            number=request.number,
            incarnation=self.me.incarnation,
            revision=self.view.revision,
            age_s=self.store.age_s(now),
            attested=self._attests(now),
            newer=tuple(newer),
        )
        self.outbox.append((sender, reply))

    def _attests(self, now: float) -> bool:
        own = self.view.own_table
        cannot_attest = self.store.write_pending or self.stopping
        return (
            not cannot_attest
            and own is not None
            and self._writers.includes_me(own, now)
        )

    def _on_reply(self, now: float, sender: str, reply: ShareTableReply) -> None:
        host, asked_at = self._requests.pop(reply.number, ("", 0.0))
        if host != sender:
            return
        for table in reply.newer:
            self._adopt_table(now, table)
        answering = Member(sender, reply.incarnation)
        self._check_incarnation(now, answering)
        self.view.record_known_revision(now, answering, reply.revision)
        own = self.view.own_table
        if own is None or self.stopping:
            return
        if reply.revision < own.revision:
            self.outbox.append((sender, ShareTableUpdate(own)))
        elif reply.revision == own.revision:
            self._apply_confirmation(sender, asked_at, reply)

    def _apply_confirmation(
        self, sender: str, asked_at: float, reply: ShareTableReply
    ) -> None:
        if reply.age_s is not None:
            confirmed_at = asked_at - reply.age_s * (1 + 2 * self.cfg.drift)
            self.store.record_confirmation(confirmed_at)
            self.lease.confirm(confirmed_at)
        if reply.attested:
            self.lease.attest(sender, asked_at)

    def _check_incarnation(self, now: float, answering: Member) -> None:
        self.liveness.record_message(answering, now)
        own = self.view.own_table
        for member in own.current.members if own else ():
            if member.host == answering.host and member != answering:
                self._writers.record_replacement(now, member)
                self._update_writers(now)

    def _adopt_table(self, now: float, table: ShareTable) -> None:
        if self.view.adopt(now, table) and table.data_centre == self.data_centre:
            self._on_own_table_change(now)

    def _on_own_table_change(self, now: float) -> None:
        self.lease.clear_attestations()
        self._update_writers(now)

    def _update_writers(self, now: float) -> None:
        if self.view.own_table is not None and not self.stopping:
            self.lease.set_writers(self._writers.other_hosts(self.view.own_table, now))

    def _write_next_table(self, now: float) -> None:
        if not self.store.is_fresh(now):
            return
        self.store.add_missing_data_centres(now)
        split = self.store.split
        table = next_table(
            self.view.tables, self.data_centre, self.liveness, split, now
        )
        if table is not None:
            self.store.write(now, table)
