"""Admits or refuses the requests of all teams on a host."""

import heapq
from collections.abc import Mapping
from typing import Any

from magnoliaroad.config import Team
from magnoliaroad.limits.borrower import Borrower, Waiter
from magnoliaroad.limits.decision import Admitted, Decision, OverRate
from magnoliaroad.limits.lender import Lender
from magnoliaroad.limits.loan_pool import BorrowedTokens
from magnoliaroad.limits.messages import LoanRequest, TokenLoan, TokenReturn
from magnoliaroad.limits.protocol import ShareProtocol

SPARE_TOKENS = 1e-6
MIN_RETRY_PAUSE_S = 0.002
SWEEP_INTERVAL_S = 5.0
UNBOUNDED_WAIT_S = 60.0
INCARNATION_PREFIX_CHARS = 8


class Limiter:
    """Admits requests with the host's own tokens and with borrowed ones.

    Args:
        protocol: Provides the shares of this host and the holders of the others.

    Attributes:
        outbox: Messages to send, as pairs of host and message.
        decisions: Decisions on requests that had to wait.
    """

    def __init__(self, protocol: ShareProtocol) -> None:
        self.cfg = protocol.cfg
        self.protocol = protocol
        self.lender = Lender(self.cfg, protocol.view, protocol.lease.is_valid)
        self.outbox: list[tuple[str, Any]] = []
        self.decisions: list[Decision] = []
        self._borrowers: dict[str, Borrower] = {}
        self._timers: list[tuple[float, str]] = []
        self._timer_by_team: dict[str, float] = {}
        self._incarnation = protocol.me.incarnation[:INCARNATION_PREFIX_CHARS]
        self._last_number = 0
        self._team_by_request: dict[int, str] = {}
        self._next_sweep_at = float("-inf")

    @property
    def active_teams(self) -> int:
        """Number of teams whose state is kept in memory."""
        return len(self._borrowers.keys() | self.lender.held_teams())

    def set_teams(self, now: float, teams: Mapping[str, Team]) -> None:
        """Sets the rates and bursts of the teams."""
        self.lender.set_teams(now, teams)

    def decide(self, now: float, team: str, request_id: int) -> Decision | None:
        """Decides on a request; ``None`` when it waits for a token."""
        borrower = self._borrower(team, now)
        borrower.record_request(now)
        if not borrower.waiting and self._spend(now, team, borrower):
            self._schedule_tick(now, team, borrower)
            return Admitted(request_id)
        wait_s = self._expected_wait_s(now, team, borrower)
        if wait_s > self.cfg.longest_wait_s:
            return OverRate(
                request_id, self._retry_after_s(now, team, borrower, wait_s)
            )
        deadline = now + self.cfg.longest_wait_s
        borrower.waiting.append(Waiter(request_id, deadline))
        self._serve_waiting(now, team, borrower)
        return None

    def on_message(self, now: float, sender: str, message: Any) -> None:
        """Handles a message from another host's limiter."""
        if isinstance(message, LoanRequest):
            self.outbox.append((sender, self.lender.lend(now, sender, message)))
        elif isinstance(message, TokenReturn):
            self.lender.settle(now, sender, message)
        elif isinstance(message, TokenLoan):
            self._on_loan(now, sender, message)

    def tick(self, now: float) -> None:
        """Serves the teams whose timers are due and drops idle state."""
        while self._timers and self._timers[0][0] <= now:
            at, team = heapq.heappop(self._timers)
            if self._timer_by_team.get(team) != at:
                continue
            del self._timer_by_team[team]
            if team in self._borrowers:
                self._serve_waiting(now, team, self._borrowers[team])
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
            self._sweep(now)

    def next_event(self) -> float:
        """Returns the time at which ``tick`` is due next."""
        return self._timers[0][0] if self._timers else self._next_sweep_at

    def _on_loan(self, now: float, sender: str, loan: TokenLoan) -> None:
        team = self._team_by_request.pop(loan.number, "")
        if team in self._borrowers:
            borrower = self._borrowers[team]
            borrower.accept_loan(now, sender, loan)
            self._serve_waiting(now, team, borrower)

    def _borrower(self, team: str, now: float) -> Borrower:
        if team not in self._borrowers:
            self._borrowers[team] = Borrower(self.cfg, now)
        return self._borrowers[team]

    def _serve_waiting(self, now: float, team: str, borrower: Borrower) -> None:
        borrower.time_out_loan_requests(now)
        while borrower.waiting and self._spend(now, team, borrower):
            self.decisions.append(Admitted(borrower.waiting.popleft().request_id))
        self._refuse_expired(now, team, borrower)
        for loan in borrower.pool.pop_due(now):
            self._return_loan(team, loan)
        if borrower.waiting:
            self._request_loans(now, team, borrower)
        self._schedule_tick(now, team, borrower)

    def _spend(self, now: float, team: str, borrower: Borrower) -> bool:
        borrowed = borrower.pool.tokens(now)
        own = 0.0 if borrowed >= 1.0 else self.lender.tokens(team, now)
        if borrowed + own < 1.0:
            return False
        from_loans = min(borrowed, 1.0)
        for loan in borrower.pool.spend(now, from_loans):
            self._return_loan(team, loan)
        self.lender.consume(team, now, 1.0 - from_loans)
        borrower.record_admission(now)
        return True

    def _refuse_expired(self, now: float, team: str, borrower: Borrower) -> None:
        while borrower.waiting and borrower.waiting[0].deadline <= now:
            request_id = borrower.waiting.popleft().request_id
            wait_s = self._expected_wait_s(now, team, borrower)
            retry_s = self._retry_after_s(now, team, borrower, wait_s)
            self.decisions.append(OverRate(request_id, retry_s))

    def _request_loans(self, now: float, team: str, borrower: Borrower) -> None:
        entry = self.lender.teams.get(team)
        if entry is None:
            return
        lenders = self.protocol.view.lenders(team)
        available = self._available_tokens(now, team, borrower)
        shortfall = len(borrower.waiting) - available + SPARE_TOKENS
        for planned in borrower.plan_requests(
            now, entry, lenders, shortfall, available
        ):
            self._last_number += 1
            borrower.record_loan_request(self._last_number, planned, now)
            self._team_by_request[self._last_number] = team
            request = LoanRequest(
                self._last_number, self._incarnation, team, planned.amount
            )
            self.outbox.append((planned.lender, request))

    def _return_loan(self, team: str, loan: BorrowedTokens) -> None:
        message = TokenReturn(loan.number, self._incarnation, team, loan.left)
        self.outbox.append((loan.lender, message))

    def _available_tokens(self, now: float, team: str, borrower: Borrower) -> float:
        return borrower.pool.tokens(now) + self.lender.tokens(team, now)

    def _expected_wait_s(self, now: float, team: str, borrower: Borrower) -> float:
        tokens, rate = self._expected_supply(now, team, borrower)
        if borrower.is_contended(now):
            tokens = self._available_tokens(now, team, borrower)
            own = self.protocol.view.fraction(team, now) * self.lender.rate(team)
            rate = min(rate, max(own, borrower.admitted_rate(now)))
        shortfall = len(borrower.waiting) + 1 - tokens
        if shortfall <= 0:
            return 0.0
        return shortfall / rate if rate > 0 else UNBOUNDED_WAIT_S

    def _expected_supply(
        self, now: float, team: str, borrower: Borrower
    ) -> tuple[float, float]:
        entry = self.lender.teams.get(team)
        if entry is None:
            return 0.0, 0.0
        lenders = self.protocol.view.lenders(team)
        tokens, rate = borrower.expected_supply(now, entry, lenders)
        if self.protocol.lease.is_valid(now):
            rate += self.protocol.view.fraction(team, now) * entry.rate
        return tokens + self._available_tokens(now, team, borrower), rate

    def _retry_after_s(
        self, now: float, team: str, borrower: Borrower, wait_s: float
    ) -> float:
        _, rate = self._expected_supply(now, team, borrower)
        latest = now + wait_s + self.cfg.retry_spread_s
        borrower.retry_at = max(borrower.retry_at, now + wait_s)
        retry_after_s = min(borrower.retry_at, latest) - now
        if rate > 0:
            borrower.retry_at = min(latest, borrower.retry_at + 1.0 / rate)
        return retry_after_s

    def _schedule_tick(self, now: float, team: str, borrower: Borrower) -> None:
        at = borrower.next_deadline()
        if borrower.waiting:
            wait_s = self._retry_pause_s(now, team, borrower)
            at = min(now + wait_s, now + UNBOUNDED_WAIT_S if at is None else at)
        if at is None:
            return
        before = self._timer_by_team.get(team)
        if before is None or at < before:
            self._timer_by_team[team] = at
            heapq.heappush(self._timers, (at, team))

    def _retry_pause_s(self, now: float, team: str, borrower: Borrower) -> float:
        _, rate = self._expected_supply(now, team, borrower)
        pause_s = 1.0 / rate if rate > 0 else self.cfg.longest_wait_s
        return max(MIN_RETRY_PAUSE_S, min(pause_s, self.cfg.ask_interval_s))

    def _sweep(self, now: float) -> None:
        self.lender.sweep(now)
        self._team_by_request = {
            number: team
            for number, team in self._team_by_request.items()
            if team in self._borrowers and number in self._borrowers[team].pending
        }
        for team in [t for t, b in self._borrowers.items() if b.idle]:
            del self._borrowers[team]
        active = self._borrowers.keys() | self.lender.held_teams()
        self.protocol.view.evict_other_teams(active)
