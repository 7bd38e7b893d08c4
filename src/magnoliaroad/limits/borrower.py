"""Queues a team's requests on a host and chooses the lenders to borrow from."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from magnoliaroad.config import Team
from magnoliaroad.limits.lender_estimate import LenderEstimate
from magnoliaroad.limits.loan_pool import BorrowedTokens, LoanPool
from magnoliaroad.limits.messages import TokenLoan
from magnoliaroad.limits.recent_rate import RecentRate
from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.limits.view import LenderShare

MIN_LOAN_TOKENS = 0.01
RETURN_FRACTION = 0.6
CONTENDED_FRACTION = 0.8
NO_ESTIMATE = LenderEstimate()


class Waiter(NamedTuple):
    """A request waiting for a token."""

    request_id: int
    deadline: float


class PendingLoanRequest(NamedTuple):
    """A loan request that has been sent and not answered."""

    lender: str
    amount: float
    asked_at: float


class PlannedLoanRequest(NamedTuple):
    """A loan request to send."""

    lender: str
    amount: float


class Borrower:
    """The waiting requests of one team and the loans made to serve them."""

    __slots__ = (
        "_admitted",
        "_demand",
        "_estimates",
        "cfg",
        "pending",
        "pool",
        "retry_at",
        "waiting",
    )

    def __init__(self, cfg: LimitSettings, now: float) -> None:
        self.cfg = cfg
        self.waiting: collections.deque[Waiter] = collections.deque()
        self.pool = LoanPool()
        self.pending: dict[int, PendingLoanRequest] = {}
        self.retry_at = now
        self._estimates: dict[str, LenderEstimate] = {}
        self._demand = RecentRate()
        self._admitted = RecentRate()

    @property
    def idle(self) -> bool:
        """Whether no request waits and no loan is held or expected."""
        return not (self.waiting or self.pool or self.pending)

    def record_request(self, now: float) -> None:
        """Counts a request towards the demand."""
        self._demand.count(now)

    def record_admission(self, now: float) -> None:
        """Counts a request that got a token."""
        self._admitted.count(now)

    def is_contended(self, now: float) -> bool:
        """Whether the oldest request has waited so long that tokens must be scarce."""
        if not self.waiting:
            return False
        left_s = self.waiting[0].deadline - now
        return left_s < CONTENDED_FRACTION * self.cfg.longest_wait_s

    def admitted_rate(self, now: float) -> float:
        """Returns the recent rate of admitted requests, per second."""
        return self._admitted.at(now)

    def expected_supply(
        self, now: float, team: Team, lenders: Iterable[LenderShare]
    ) -> tuple[float, float]:
        """Returns the tokens and the rate expected from ``lenders``."""
        tokens = rate = 0.0
        for lender in lenders:
            if self._estimate(lender.host).cooldown_until > now:
                continue
            tokens += self._expected_tokens(lender, team, now)
            rate += self._estimate(lender.host).rate(lender.fraction * team.rate)
        return tokens, rate

    def plan_requests(
        self,
        now: float,
        team: Team,
        lenders: Iterable[LenderShare],
        shortfall: float,
        available: float,
    ) -> list[PlannedLoanRequest]:
        """Returns the loan requests to send to obtain ``shortfall`` tokens.

        Returns none unless the expected loans, together with the ``available``
        tokens, make up a whole token. Lenders of this data centre are asked first.
        The requests also cover ``cfg.prefetch_s`` of recent demand.
        """
        requested = sum(pending.amount for pending in self.pending.values())
        expected = self._expected_loans(now, team, lenders)
        if available + requested + sum(expected.values()) < 1.0:
            return []
        shortfall -= requested
        prefetch = self._demand.at(now) * self.cfg.prefetch_s
        planned = []
        for host, tokens in expected.items():
            if shortfall <= 0:
                break
            amount = min(tokens, shortfall + prefetch)
            planned.append(PlannedLoanRequest(host, amount))
            shortfall -= amount
        return planned

    def record_loan_request(
        self, number: int, request: PlannedLoanRequest, now: float
    ) -> None:
        """Records that ``request`` was sent under ``number``."""
        self.pending[number] = PendingLoanRequest(request.lender, request.amount, now)
        estimate = self._estimate(request.lender)
        self._estimates[request.lender] = estimate._replace(asked_at=now)

    def accept_loan(self, now: float, sender: str, loan: TokenLoan) -> None:
        """Adds a loan to the pool if it answers a pending request."""
        pending = self.pending.get(loan.number)
        if pending is None or pending.lender != sender:
            return
        del self.pending[loan.number]
        self._estimates[sender] = LenderEstimate(
            answered_at=now,
            left=loan.left,
            rivals=loan.rivals,
            asked_at=pending.asked_at,
        )
        expires_at = pending.asked_at + self.cfg.loan_s
        if loan.amount > 0 and now < expires_at:
            return_due_at = pending.asked_at + RETURN_FRACTION * self.cfg.loan_s
            self.pool.add(
                BorrowedTokens(
                    sender,
                    loan.number,
                    loan.amount,
                    return_due_at,
                    expires_at,
                    loan.settle_when_spent,
                )
            )

    def time_out_loan_requests(self, now: float) -> None:
        """Drops overdue loan requests and puts their lenders into cooldown."""
        oldest = now - self.cfg.ask_timeout_s
        for number, pending in list(self.pending.items()):
            if pending.asked_at <= oldest:
                del self.pending[number]
                estimate = self._estimate(pending.lender)
                cooldown_until = now + self.cfg.lender_rest_s
                self._estimates[pending.lender] = estimate._replace(
                    cooldown_until=cooldown_until
                )

    def next_deadline(self) -> float | None:
        """Returns the next time at which a timeout, deadline or return is due."""
        times = [p.asked_at + self.cfg.ask_timeout_s for p in self.pending.values()]
        if self.waiting:
            times.append(self.waiting[0].deadline)
        if (at := self.pool.next_return_at()) is not None:
            times.append(at)
        return min(times, default=None)

    def _estimate(self, host: str) -> LenderEstimate:
        return self._estimates.get(host, NO_ESTIMATE)

    def _expected_tokens(self, lender: LenderShare, team: Team, now: float) -> float:
        rate, burst = lender.fraction * team.rate, lender.fraction * team.burst
        return self._estimate(lender.host).tokens(now, rate, burst)

    def _expected_loans(
        self, now: float, team: Team, lenders: Iterable[LenderShare]
    ) -> dict[str, float]:
        pending_lenders = {pending.lender for pending in self.pending.values()}
        earliest = now - self.cfg.ask_interval_s
        candidates = [
            (
                not lender.is_local,
                -self._expected_tokens(lender, team, now),
                lender.host,
            )
            for lender in lenders
            if lender.host not in pending_lenders
            and self._estimate(lender.host).asked_at <= earliest
        ]
        return {host: -t for _, t, host in sorted(candidates) if -t > MIN_LOAN_TOKENS}
