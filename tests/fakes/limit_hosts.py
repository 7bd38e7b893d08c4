"""Simulates hosts that enforce team rates, in virtual time over a seeded wire."""

import collections
import random
from typing import Any, NamedTuple

from magnoliaroad.config import Team
from magnoliaroad.limits import Limiter, LimitSettings, ShareProtocol
from magnoliaroad.limits.decision import Admitted, OverRate
from magnoliaroad.limits.messages import TokenLoan
from magnoliaroad.limits.share_messages import (
    ShareTableReply,
    ShareTableRequest,
    ShareTableUpdate,
)
from magnoliaroad.limits.store_call import StoreCall, StoreOperation, StoreOutcome
from magnoliaroad.limits.table import Member
from magnoliaroad.peers import message_tag
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.store import StoreConflict
from tests.fakes.wire import Wire, WireFaults

STORE = "store"
TICK_S = 0.01
STORE_TIMEOUT_S = 1.0
SHARE_MESSAGES = (ShareTableRequest, ShareTableReply, ShareTableUpdate)


class Arrival(NamedTuple):
    """A request of a team that reaches a host."""

    at: float
    host: str
    team: str


class AdmissionResult(NamedTuple):
    """Whether and when a request was admitted."""

    arrival: Arrival
    at: float
    admitted: bool
    retry_after_s: float = 0.0


class Process:
    """One process of a host, with its protocol, limiter and clock."""

    def __init__(self, name, data_centre, incarnation, cfg, clock) -> None:
        self.name, self.data_centre = name, data_centre
        self.member = Member(name, incarnation)
        self.offset_s, self.speed = clock
        self.protocol = ShareProtocol(cfg, self.member, data_centre)
        self.limiter = Limiter(self.protocol)
        self.paused_until = float("-inf")
        self.inbox: list[tuple[str, Any]] = []
        self.calls: collections.deque[StoreCall] = collections.deque()
        self.call_started: float | None = None

    def clock(self, now: float) -> float:
        return self.offset_s + now * self.speed


class LimitHosts:
    """Runs hosts and lets a test cut links, stop the store and end processes."""

    def __init__(
        self,
        layout: dict[str, list[str]],
        teams: list[Team],
        seed: int = 0,
        cfg: LimitSettings | None = None,
        faults: WireFaults | None = None,
        drift: float = 0.0,
    ) -> None:
        self.cfg = cfg or LimitSettings()
        self.teams = {team.name: team for team in teams}
        self.wire = Wire(seed, faults)
        self.state = KvState()
        self.store_down = False
        self.lose_answers = False
        self.now = 0.0
        self.processes: dict[str, Process] = {}
        self.results: list[AdmissionResult] = []
        self.messages: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._drift = drift
        self._start_count = 0
        self._unlisted: set[str] = set()
        self._data_centre_of = {h: dc for dc, hosts in layout.items() for h in hosts}
        self._arrivals: dict[int, Arrival] = {}
        for host in self._data_centre_of:
            self.start(host)

    def start(self, host: str) -> None:
        """Starts a new process of a host."""
        self._start_count += 1
        speed = 1.0 + self._random.uniform(-self._drift, self._drift)
        clock = (self._random.uniform(0, 1e5), speed)
        process = Process(
            host,
            self._data_centre_of[host],
            f"run-{self._start_count}",
            self.cfg,
            clock,
        )
        process.limiter.set_teams(process.clock(self.now), dict(self.teams))
        self.processes[host] = process
        self._announce()

    def end(self, host: str, listed: bool = True) -> None:
        """Ends a host's process without shutdown.

        Args:
            host: Name of the host.
            listed: Whether the other hosts' lists of live hosts show the end.
        """
        del self.processes[host]
        if listed:
            self._announce()

    def unlist(self, hosts: set[str]) -> None:
        """Takes ``hosts`` off the list of live hosts, whether or not they run."""
        self._unlisted = hosts
        self._announce()

    def cut_store(self, host: str) -> None:
        """Cuts the link between a host and the store."""
        self.wire.cut([host], [STORE])

    def set_store_down(self, down: bool) -> None:
        """Stops or restarts the store."""
        self.store_down = down

    def set_lose_answers(self, lossy: bool) -> None:
        """Sets whether the store executes calls but loses its answers."""
        self.lose_answers = lossy

    def pause(self, host: str, until: float) -> None:
        """Pauses a process; when it resumes, it handles queued requests first."""
        self.processes[host].paused_until = until

    def set_removed_hosts(self, hosts: list[str]) -> None:
        """Reports ``hosts`` as removed by the platform to all processes."""
        for process in self.processes.values():
            process.protocol.set_removed_hosts(process.clock(self.now), hosts)

    def set_team(self, team: Team) -> None:
        """Changes a team's rate and burst on all hosts."""
        self.teams[team.name] = team
        for process in self.processes.values():
            process.limiter.set_teams(process.clock(self.now), dict(self.teams))

    def run(self, until: float, arrivals: list[Arrival] = ()) -> None:
        """Runs until ``until`` and delivers each request at its time."""
        queue = collections.deque(sorted(arrivals))
        while self.now < until:
            self.now += TICK_S
            while queue and queue[0].at <= self.now:
                arrival = queue.popleft()
                self._deliver(arrival.at)
                self._request(arrival)
            self._deliver(self.now)
            for process in list(self.processes.values()):
                self._tick(process)

    def host_fraction(self, host: str, team: str) -> float:
        """Returns the fraction of ``team`` that ``host`` may use now."""
        process = self.processes[host]
        now = process.clock(self.now)
        if not process.protocol.lease.is_valid(now):
            return 0.0
        return process.protocol.view.fraction(team, now)

    def spendable(self, team: str) -> tuple[float, float]:
        """Returns the tokens that could be spent now and the usable fractions' sum."""
        tokens = fraction = 0.0
        for process in self.processes.values():
            now = process.clock(self.now)
            tokens += process.limiter.lender.tokens(team, now)
            borrower = process.limiter._borrowers.get(team)
            tokens += borrower.pool.tokens(now) if borrower else 0.0
            fraction += self.host_fraction(process.name, team)
        return tokens + self._tokens_in_transit(team), fraction

    def _tokens_in_transit(self, team: str) -> float:
        undelivered = [(d.source, d.target, d.message) for d in self.wire.pending()]
        for process in self.processes.values():
            undelivered += [(source, process.name, m) for source, m in process.inbox]
        loans = {
            (target, message.number): message.amount
            for source, target, message in undelivered
            if isinstance(message, TokenLoan)
            and self._is_expected_loan(target, source, message, team)
        }
        return sum(loans.values())

    def _is_expected_loan(
        self, target: str, source: str, loan: TokenLoan, team: str
    ) -> bool:
        process = self.processes.get(target)
        if process is None or process.limiter._team_by_request.get(loan.number) != team:
            return False
        borrower = process.limiter._borrowers.get(team)
        asked = borrower and borrower.pending.get(loan.number)
        if not asked or asked.lender != source:
            return False
        return process.clock(self.now) < asked.asked_at + self.cfg.loan_s

    def _announce(self) -> None:
        for process in self.processes.values():
            live = {
                other.name: other.member.incarnation
                for other in self.processes.values()
                if other.data_centre == process.data_centre
                and other.name not in self._unlisted
            }
            process.protocol.set_live(live)

    def _request(self, arrival: Arrival) -> None:
        process = self.processes.get(arrival.host)
        if process is None:
            return
        if process.paused_until > self.now:
            process.inbox.insert(0, ("", arrival))
            return
        self._decide(process, arrival)
        self._flush(process, arrival.at)

    def _decide(self, process: Process, arrival: Arrival) -> None:
        request_id = len(self._arrivals)
        self._arrivals[request_id] = arrival
        now = process.clock(max(arrival.at, self.now - TICK_S))
        decision = process.limiter.decide(now, arrival.team, request_id)
        if decision is not None:
            self._record_decision(decision, max(arrival.at, self.now - TICK_S))

    def _deliver(self, now: float) -> None:
        for delivery in self.wire.receive(now):
            if delivery.target == STORE:
                self._serve_store_call(delivery.at, delivery.source, delivery.message)
                continue
            process = self.processes.get(delivery.target)
            if process is None:
                continue
            if process.paused_until > now:
                process.inbox.append((delivery.source, delivery.message))
                continue
            self._handle(process, delivery.at, delivery.source, delivery.message)
            self._flush(process, delivery.at)

    def _handle(self, process: Process, at: float, source: str, message: Any) -> None:
        now = process.clock(at)
        if source == STORE:
            call, outcome, run = message
            if process.calls and process.calls[0] is call and run == process.member:
                self._on_store_outcome(process, now, outcome)
        elif isinstance(message, SHARE_MESSAGES):
            process.protocol.on_message(now, source, message)
        else:
            process.limiter.on_message(now, source, message)

    def _tick(self, process: Process) -> None:
        if process.paused_until > self.now:
            return
        now = process.clock(self.now)
        for source, message in process.inbox:
            if source:
                self._handle(process, self.now, source, message)
            else:
                self._decide(process, message._replace(at=self.now))
        process.inbox.clear()
        started = process.call_started
        if started is not None and self.now - started > STORE_TIMEOUT_S:
            self._on_store_outcome(process, now, None)
        process.protocol.tick(now)
        if process.limiter.next_event() <= now:
            process.limiter.tick(now)
        self._flush(process, self.now)

    def _on_store_outcome(self, process: Process, now: float, outcome) -> None:
        process.call_started = None
        process.protocol.on_store_outcome(now, process.calls.popleft(), outcome)

    def _flush(self, process: Process, now: float) -> None:
        for outbox in (process.protocol.outbox, process.limiter.outbox):
            for target, message in outbox:
                self.messages[message_tag(type(message))] += 1
                self.wire.send(now, process.name, target, message)
            outbox.clear()
        for decision in process.limiter.decisions:
            self._record_decision(decision, now)
        process.limiter.decisions.clear()
        process.calls.extend(process.protocol.store.calls)
        process.protocol.store.calls.clear()
        if process.calls and process.call_started is None:
            process.call_started = now
            message = (process.calls[0], process.member)
            self.wire.send(now, process.name, STORE, message)

    def _serve_store_call(self, at: float, source: str, message: Any) -> None:
        call, member = message
        if self.store_down:
            return
        outcome = self._execute_call(call)
        if not self.lose_answers:
            self.wire.send(at, STORE, source, (call, outcome, member))

    def _execute_call(self, call: StoreCall) -> StoreOutcome:
        if call.operation is StoreOperation.LIST:
            return StoreOutcome(entries=self.state.list(call.key).changed)
        expected = 0 if call.operation is StoreOperation.CREATE else call.expected
        try:
            revision = self.state.put(call.key, call.value, expected)
        except StoreConflict as exc:
            return StoreOutcome(entries=(exc.current,))
        return StoreOutcome(written=True, revision=revision)

    def _record_decision(self, decision, at: float) -> None:
        arrival = self._arrivals[decision.request_id]
        if isinstance(decision, Admitted):
            self.results.append(AdmissionResult(arrival, at, True))
        elif isinstance(decision, OverRate):
            self.results.append(
                AdmissionResult(arrival, at, False, decision.retry_after_s)
            )


def worst_excess(times: list[float], rate: float, burst: float) -> float:
    """Returns how far admissions at ``times`` exceed the limit in the worst window."""
    worst, lowest = -burst, float("inf")
    for count, time in enumerate(sorted(times)):
        lowest = min(lowest, count - rate * time)
        worst = max(worst, count + 1 - rate * time - lowest - burst)
    return worst
