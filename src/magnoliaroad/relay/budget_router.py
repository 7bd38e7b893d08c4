"""Reserves tokens of programs' budgets at the host that accounts for them."""

import itertools
import time
from collections.abc import Callable

from loguru import logger
from typing_extensions import override

from magnoliaroad.peers import PeerError, Peers
from magnoliaroad.refusal import Refused
from magnoliaroad.relay.budget_ledger import BudgetLedger
from magnoliaroad.relay.budget_share import BudgetShare
from magnoliaroad.relay.fleet_messages import (
    BudgetLoanReply,
    BudgetLoanRequest,
    BudgetReservationEnd,
    BudgetReservationReply,
    BudgetReservationRequest,
    ProgramKnownReply,
    ProgramKnownRequest,
    ReservationOutcome,
)
from magnoliaroad.relay.refusals import BUDGET_SPENT, BUDGET_UNCERTAIN
from magnoliaroad.relay.reservation import Reservation
from magnoliaroad.rendezvous import highest_ranked

# Time that a call to the home host may take beyond the time limit of the claim that the
# home host may have to make in the store.
CALL_MARGIN_S = 0.1
# Timeout for asking the home host whether it has a program; a few round trips.
LOOKUP_TIMEOUT_S = 0.05


class _LocalReservation(Reservation):
    """Tokens reserved in this host's own share."""

    def __init__(self, share: BudgetShare, tokens: int) -> None:
        self._share = share
        self._tokens = tokens

    @override
    def settle(self, used: int) -> None:
        self._share.settle(time.monotonic(), self._tokens, used)


class _RemoteReservation(Reservation):
    """Tokens reserved at another host."""

    def __init__(self, peers: Peers, host: str, req: BudgetReservationRequest) -> None:
        self._peers = peers
        self._host = host
        self._req = req

    @override
    def settle(self, used: int) -> None:
        self._peers.send(self._host, BudgetReservationEnd(self._req.number, used))


class BudgetRouter:
    """Reserves tokens of a program at the program's home host.

    The home host is the first choice of rendezvous hashing. It claims the budget in the
    store, mostly once per program, and counts in memory what turns on all hosts use. If
    it cannot be reached, this host claims a part itself; the record in the store keeps
    both within the budget.

    Args:
        name: Name of this host.
        ledger: Claims and counts of this host.
        peers: Connections between hosts.
        hosts: Returns the hosts that may be home hosts.
    """

    def __init__(
        self,
        name: str,
        ledger: BudgetLedger,
        peers: Peers,
        hosts: Callable[[], list[str]],
    ) -> None:
        self._name = name
        self._ledger = ledger
        self._peers = peers
        self._hosts = hosts
        self._numbers = itertools.count(1)
        self._granted: dict[tuple[str, int], _LocalReservation] = {}
        peers.on(BudgetLoanRequest, self._on_lend, BudgetLoanReply)
        peers.on(BudgetReservationRequest, self._on_reserve, BudgetReservationReply)
        peers.on(BudgetReservationEnd, self._on_settle)
        peers.on(ProgramKnownRequest, self._on_lookup, ProgramKnownReply)

    async def reserve(self, program: str, limit: int, tokens: int) -> Reservation:
        """Reserves ``tokens`` of a program for a turn.

        Args:
            program: The program.
            limit: The program's budget as stated by the caller.
            tokens: Most tokens that the turn may generate.

        Raises:
            Refused: The budget is spent, or it cannot be claimed now.
        """
        home = highest_ranked(program, self._hosts())
        if home is not None and home != self._name:
            req = BudgetReservationRequest(next(self._numbers), program, limit, tokens)
            outcome = await self._reserve_at(home, req)
            if outcome is ReservationOutcome.GRANTED:
                return _RemoteReservation(self._peers, home, req)
            if outcome is ReservationOutcome.SPENT:
                raise Refused(BUDGET_SPENT)
            if outcome is ReservationOutcome.UNCERTAIN:
                raise Refused(BUDGET_UNCERTAIN)
        share = await self._ledger.reserve(program, limit, tokens)
        return _LocalReservation(share, tokens)

    async def has_program(self, program: str) -> bool:
        """Returns whether turns of a program have lately asked for tokens.

        The answer is ``False`` if the home host cannot be reached.
        """
        home = highest_ranked(program, self._hosts())
        if home is None or home == self._name:
            return self._ledger.has_program(program)
        try:
            req = ProgramKnownRequest(program)
            reply = await self._peers.call_with_deadline(home, req, LOOKUP_TIMEOUT_S)
        except PeerError as exc:
            logger.bind(host=home, program=program, reason=repr(exc)).info(
                "budget's host not reached"
            )
            return False
        return reply.known

    def _on_lookup(self, sender: str, req: ProgramKnownRequest) -> ProgramKnownReply:
        return ProgramKnownReply(self._ledger.has_program(req.program))

    async def _reserve_at(
        self, home: str, req: BudgetReservationRequest
    ) -> ReservationOutcome | None:
        timeout_s = self._ledger.cfg.claim_s + CALL_MARGIN_S
        try:
            reply = await self._peers.call_with_deadline(home, req, timeout_s)
        except PeerError as exc:
            logger.bind(host=home, program=req.program, reason=repr(exc)).info(
                "budget's host not reached"
            )
            return None
        return ReservationOutcome(reply.outcome)

    async def _on_reserve(
        self, sender: str, req: BudgetReservationRequest
    ) -> BudgetReservationReply:
        try:
            share = await self._ledger.reserve(req.program, req.limit, req.tokens)
        except Refused as exc:
            spent = exc.refusal is BUDGET_SPENT
            return BudgetReservationReply(
                ReservationOutcome.SPENT if spent else ReservationOutcome.UNCERTAIN
            )
        self._granted[sender, req.number] = _LocalReservation(share, req.tokens)
        return BudgetReservationReply(ReservationOutcome.GRANTED)

    def _on_settle(self, sender: str, req: BudgetReservationEnd) -> None:
        reservation = self._granted.pop((sender, req.number), None)
        if reservation is not None:
            reservation.settle(req.used)

    def _on_lend(self, sender: str, req: BudgetLoanRequest) -> BudgetLoanReply:
        return self._ledger.lend(req.program)
