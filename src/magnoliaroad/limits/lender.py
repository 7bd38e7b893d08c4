"""The tokens that a host holds and the loans it has granted."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from magnoliaroad.config import Team
from magnoliaroad.limits.bucket import TokenBucket
from magnoliaroad.limits.messages import LoanRequest, TokenLoan, TokenReturn
from magnoliaroad.limits.settings import LimitSettings
from magnoliaroad.limits.view import ShareView

LoanKey = tuple[str, str, int]
MIN_LENDABLE_TOKENS = 1e-9
LARGE_LOAN_FRACTION = 0.25
RIVAL_WINDOW_S = 0.5


class OpenLoan(NamedTuple):
    """A granted loan that has not been settled.

    Attributes:
        amount: Tokens lent.
        expires_at: Time after which the borrower cannot use the loan.
    """

    amount: float
    expires_at: float


class TeamTokens:
    """The tokens, open loans and competing borrowers of one team on a host."""

    __slots__ = ("bucket", "loans", "rivals")

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.loans: dict[LoanKey, OpenLoan] = {}
        self.rivals: dict[str, float] = {}

    @property
    def idle(self) -> bool:
        """Whether the bucket is full and no loan is open, so it can be dropped."""
        return self.bucket.full and not self.loans


class Lender:
    """Spends the tokens of the host's own shares and lends them to other hosts.

    Args:
        cfg: Settings of the limits.
        view: Provides the fractions that this host may use.
        lease_is_valid: Returns whether the host's share lease is valid at a time.
    """

    def __init__(
        self,
        cfg: LimitSettings,
        view: ShareView,
        lease_is_valid: Callable[[float], bool],
    ) -> None:
        self.cfg = cfg
        self.view = view
        self.lease_is_valid = lease_is_valid
        self.teams: Mapping[str, Team] = {}
        self._held: dict[str, TeamTokens] = {}

    def held_teams(self) -> set[str]:
        """Returns the teams whose state is kept in memory."""
        return set(self._held)

    def set_teams(self, now: float, teams: Mapping[str, Team]) -> None:
        """Sets the teams' rates and bursts; the change itself adds no tokens."""
        for name, before in self.teams.items():
            after = teams.get(name)
            changed = after is None or after[1:3] != before[1:3]
            if changed and self.view.fraction(name, now):
                self._refresh(name, now)
        self.teams = teams
        for name in self._held:
            if name in teams:
                self._apply_limits(name, now)

    def rate(self, team: str) -> float:
        """Returns the rate of ``team``, reduced by the allowed clock drift."""
        entry = self.teams.get(team)
        return entry.rate * (1 - self.cfg.drift) if entry else 0.0

    def tokens(self, team: str, now: float) -> float:
        """Returns the tokens of ``team`` that may be used at ``now``."""
        if not self.lease_is_valid(now) or team not in self.teams:
            return 0.0
        if not self.view.timeline(team):
            return 0.0
        return self._refresh(team, now).bucket.tokens

    def consume(self, team: str, now: float, amount: float) -> float:
        """Spends up to ``amount`` tokens on this host; returns the number spent."""
        amount = min(amount, self.tokens(team, now))
        if amount > 0:
            self._held[team].bucket.tokens -= amount
        return amount

    def lend(self, now: float, sender: str, request: LoanRequest) -> TokenLoan:
        """Deducts the tokens for a loan and returns the loan to send."""
        key = (sender, request.incarnation, request.number)
        available = self.tokens(request.team, now)
        held = self._held.get(request.team)
        if held is not None and key in held.loans:
            return TokenLoan(request.number, held.loans[key].amount, 0.0)
        if held is None or available < MIN_LENDABLE_TOKENS:
            rivals = self._count_rivals(held, sender, now)
            return TokenLoan(request.number, 0.0, 0.0, rivals)
        amount = held.bucket.lend(now, request.amount)
        held.loans[key] = OpenLoan(amount, now + self._loan_lifetime_s)
        if amount < request.amount:
            held.rivals[sender] = now
        is_large = amount > LARGE_LOAN_FRACTION * held.bucket.burst
        rivals = self._count_rivals(held, sender, now)
        left = held.bucket.tokens
        return TokenLoan(request.number, amount, left, rivals, is_large)

    def settle(self, now: float, sender: str, message: TokenReturn) -> None:
        """Ends a loan; a second settlement of the same loan does nothing."""
        held = self._held.get(message.team)
        if held is None:
            return
        self._advance(held, message.team, now)
        loan = held.loans.pop((sender, message.incarnation, message.number), None)
        if loan is not None:
            held.bucket.settle(now, loan.amount, message.unspent)

    def sweep(self, now: float) -> None:
        """Drops the state of teams that are idle."""
        for team in list(self._held):
            held = self._held[team]
            self._advance(held, team, now)
            if held.idle:
                del self._held[team]

    @property
    def _loan_lifetime_s(self) -> float:
        return self.cfg.loan_s * (1 + 2 * self.cfg.drift)

    def _refresh(self, team: str, now: float) -> TeamTokens:
        held = self._held.get(team)
        if held is None:
            held = self._held[team] = self._create(team, now)
        self._advance(held, team, now)
        return held

    def _create(self, team: str, now: float) -> TeamTokens:
        first, entry = self.view.timeline(team)[0], self.teams[team]
        bucket = TokenBucket(
            rate=first.fraction * self.rate(team),
            burst=first.fraction * entry.burst,
            now=first.start,
            tokens=None if self.view.is_founder else 0.0,
        )
        return TeamTokens(bucket)

    def _advance(self, held: TeamTokens, team: str, now: float) -> None:
        ended = [item for item in held.loans.items() if item[1].expires_at <= now]
        for key, loan in sorted(ended, key=lambda item: item[1].expires_at):
            del held.loans[key]
            self._advance_bucket(held.bucket, team, loan.expires_at)
            held.bucket.settle(loan.expires_at, loan.amount)
        self._advance_bucket(held.bucket, team, now)

    def _advance_bucket(self, bucket: TokenBucket, team: str, now: float) -> None:
        entry = self.teams.get(team)
        if entry is None:
            bucket.refill(now)
            return
        segments = self.view.timeline(team)
        bucket.apply_segments(segments, self.rate(team), entry.burst, now)

    def _apply_limits(self, team: str, now: float) -> None:
        entry, fraction = self.teams[team], self.view.fraction(team, now)
        bucket = self._held[team].bucket
        bucket.set_limits(now, fraction * self.rate(team), fraction * entry.burst)

    def _count_rivals(self, held: TeamTokens | None, sender: str, now: float) -> int:
        if held is None:
            return 0
        for host in [h for h, at in held.rivals.items() if at < now - RIVAL_WINDOW_S]:
            del held.rivals[host]
        return sum(host != sender for host in held.rivals)
