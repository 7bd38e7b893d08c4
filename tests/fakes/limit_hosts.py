"""Hosts that hold teams to their rates, in virtual time over a seeded wire."""

import collections
import random
from typing import Any, NamedTuple

from magnoliaroad.config import Team
from magnoliaroad.limits import Limiter, LimitSettings, ShareProtocol
from magnoliaroad.limits.decision import Admitted, OverRate
from magnoliaroad.limits.messages import TokenLoan
from magnoliaroad.limits.share_messages import ShareAnswer, ShareAsk, ShareNews
from magnoliaroad.limits.store_call import StoreCall, StoreOperation, StoreOutcome
from magnoliaroad.limits.table import Member
from magnoliaroad.peers import message_tag
from magnoliaroad.standins.kv_state import KvState
from magnoliaroad.store import StoreConflict
from tests.fakes.wire import Wire, WireFaults

STORE = "store"
TICK_S = 0.01
STORE_TIMEOUT_S = 1.0
SHARE_MESSAGES = (ShareAsk, ShareAnswer, ShareNews)


class Arrival(NamedTuple):
    """A request of a team that reaches a host."""

    at: float
    host: str
    team: str


class Verdict(NamedTuple):
    """What became of a request."""

    arrival: Arrival
    at: float
    admitted: bool
    retry_after_s: float = 0.0


class Process:
    """One run of a host: its decision objects and its own clock."""

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
    """Runs hosts; the test cuts the wire, stops the store, and ends processes."""

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
        self.verdicts: list[Verdict] = []
        self.messages: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._drift = drift
        self._runs = 0
        self._unlisted: set[str] = set()
        self._home = {h: dc for dc, hosts in layout.items() for h in hosts}
        self._arrivals: dict[int, Arrival] = {}
        for host in self._home:
            self.start(host)

    def start(self, host: str) -> None:
        """Starts a host, also again after its end."""
        self._runs += 1
        speed = 1.0 + self._random.uniform(-self._drift, self._drift)
        clock = (self._random.uniform(0, 1e5), speed)
        process = Process(host, self._home[host], f"run-{self._runs}", self.cfg, clock)
        process.limiter.set_teams(process.clock(self.now), dict(self.teams))
        self.processes[host] = process
        self._announce()

    def end(self, host: str, listed: bool = True) -> None:
        """Ends a host's process at once; ``listed`` tells the others' editors."""
        del self.processes[host]
        if listed:
            self._announce()

    def unlist(self, hosts: set[str]) -> None:
        """Has the leases of ``hosts`` lapse, whether or not they run."""
        self._unlisted = hosts
        self._announce()

    def cut_store(self, host: str) -> None:
        """Cuts a host off from the store alone."""
        self.wire.cut([host], [STORE])

    def set_store_down(self, down: bool) -> None:
        """Stops the store, or starts it again."""
        self.store_down = down

    def set_lossy(self, lossy: bool) -> None:
        """Has the store carry calls out and lose its answers."""
        self.lose_answers = lossy

    def pause(self, host: str, until: float) -> None:
        """Stops a process; on waking it handles requests first."""
        self.processes[host].paused_until = until

    def set_gone(self, hosts: list[str]) -> None:
        """Has the platform's list say that ``hosts`` are no more."""
        for process in self.processes.values():
            process.protocol.set_gone(process.clock(self.now), hosts)

    def reshape(self, team: Team) -> None:
        """Changes a team's rate and burst on all hosts."""
        self.teams[team.name] = team
        for process in self.processes.values():
            process.limiter.set_teams(process.clock(self.now), dict(self.teams))

    def run(self, until: float, arrivals: list[Arrival] = ()) -> None:
        """Runs up to ``until``, with requests at their times."""
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
        """Returns what ``host`` may use of ``team`` now."""
        process = self.processes[host]
        now = process.clock(self.now)
        if not process.protocol.right.holds(now):
            return 0.0
        return process.protocol.view.fraction(team, now)

    def potential(self, team: str) -> tuple[float, float]:
        """Returns the tokens that could be spent now, and the fraction in use."""
        tokens = fraction = 0.0
        for process in self.processes.values():
            now = process.clock(self.now)
            tokens += process.limiter.lender.tokens(team, now)
            borrower = process.limiter._borrowers.get(team)
            tokens += borrower.pool.tokens(now) if borrower else 0.0
            fraction += self.host_fraction(process.name, team)
        return tokens + self._coming(team), fraction

    def _coming(self, team: str) -> float:
        sent = [(d.source, d.target, d.message) for d in self.wire.pending()]
        for process in self.processes.values():
            sent += [(source, process.name, m) for source, m in process.inbox]
        loans = {
            (target, message.number): message.amount
            for source, target, message in sent
            if isinstance(message, TokenLoan)
            and self._expects(target, source, message, team)
        }
        return sum(loans.values())

    def _expects(self, target: str, source: str, loan: TokenLoan, team: str) -> bool:
        process = self.processes.get(target)
        if process is None or process.limiter._asked.get(loan.number) != team:
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
        ticket = len(self._arrivals)
        self._arrivals[ticket] = arrival
        now = process.clock(max(arrival.at, self.now - TICK_S))
        decision = process.limiter.request(now, arrival.team, ticket)
        if decision is not None:
            self._note(decision, max(arrival.at, self.now - TICK_S))

    def _deliver(self, now: float) -> None:
        for delivery in self.wire.receive(now):
            if delivery.target == STORE:
                self._serve(delivery.at, delivery.source, delivery.message)
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
                self._settle(process, now, outcome)
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
            self._settle(process, now, None)
        process.protocol.tick(now)
        if process.limiter.next_event() <= now:
            process.limiter.tick(now)
        self._flush(process, self.now)

    def _settle(self, process: Process, now: float, outcome) -> None:
        process.call_started = None
        process.protocol.on_store(now, process.calls.popleft(), outcome)

    def _flush(self, process: Process, now: float) -> None:
        for box in (process.protocol.outbox, process.limiter.outbox):
            for target, message in box:
                self.messages[message_tag(type(message))] += 1
                self.wire.send(now, process.name, target, message)
            box.clear()
        for decision in process.limiter.decisions:
            self._note(decision, now)
        process.limiter.decisions.clear()
        process.calls.extend(process.protocol.store.calls)
        process.protocol.store.calls.clear()
        if process.calls and process.call_started is None:
            process.call_started = now
            message = (process.calls[0], process.member)
            self.wire.send(now, process.name, STORE, message)

    def _serve(self, at: float, source: str, message: Any) -> None:
        call, member = message
        if self.store_down:
            return
        outcome = self._carry_out(call)
        if not self.lose_answers:
            self.wire.send(at, STORE, source, (call, outcome, member))

    def _carry_out(self, call: StoreCall) -> StoreOutcome:
        if call.operation is StoreOperation.LIST:
            return StoreOutcome(entries=self.state.list(call.key).changed)
        expected = 0 if call.operation is StoreOperation.CREATE else call.expected
        try:
            revision = self.state.put(call.key, call.value, expected)
        except StoreConflict as exc:
            return StoreOutcome(entries=(exc.current,))
        return StoreOutcome(done=True, revision=revision)

    def _note(self, decision, at: float) -> None:
        arrival = self._arrivals[decision.ticket]
        if isinstance(decision, Admitted):
            self.verdicts.append(Verdict(arrival, at, True))
        elif isinstance(decision, OverRate):
            self.verdicts.append(Verdict(arrival, at, False, decision.retry_after_s))


def worst_excess(times: list[float], rate: float, burst: float) -> float:
    """Returns how far admissions at ``times`` go over in the worst window."""
    worst, lowest = -burst, float("inf")
    for count, time in enumerate(sorted(times)):
        lowest = min(lowest, count - rate * time)
        worst = max(worst, count + 1 - rate * time - lowest - burst)
    return worst
