"""What hosts tell each other regularly."""

import enum
from typing import NamedTuple

from magnoliaroad.relay.leaving import LeavingTarget
from magnoliaroad.relay.quota import TeamCount
from magnoliaroad.relay.target_table import TargetRest


class Beat(NamedTuple):
    """A host's state, sent to each of its peers.

    Attributes:
        host: Name of the sender.
        boot: Its incarnation.
        data_centre: Where it stands.
        address: IP address of its peer port.
        port: Its peer port.
        age_s: Time since its start.
        draining: Whether it is about to stop.
        store_lost: Whether it has lost contact with the store.
        slow: Whether it is too slow for its work.
        targets_revision: Revision of the newest change of targets that it knows.
        plan_version: Version of the configuration in force at the sender.
        plan_key: Where it lies in the store; empty for none.
        plan_bytes: Its size there.
        admitted: What it has admitted since its start, by team.
        whole: Whether ``admitted`` has all teams, or those that changed lately.
        in_hand: Requests in hand, by target.
        rests: Targets that failed at the sender lately.
        leaving: Targets that have said that they leave.
        quarantined: Digest of the decisions on requests that crash targets; 0 for
            none.
    """

    host: str
    boot: str
    data_centre: str
    address: str
    port: int
    age_s: float
    draining: bool
    store_lost: bool
    slow: bool
    targets_revision: int
    plan_version: int
    plan_key: str
    plan_bytes: int
    admitted: dict[str, TeamCount]
    whole: bool
    in_hand: dict[str, int]
    rests: dict[str, TargetRest]
    leaving: list[LeavingTarget] = []
    quarantined: int = 0


class PlanAsk(NamedTuple):
    """Asks a peer for its configuration."""

    version: int


class PlanTold(NamedTuple):
    """The configuration of a peer, as it lies in the store."""

    key: str
    value: bytes


class TargetsAsk(NamedTuple):
    """Asks a peer for the targets that it knows."""

    revision: int


class TargetsTold(NamedTuple):
    """The targets of a peer, as they lie in the store.

    Attributes:
        revision: Revision of the newest change among them.
        entries: Key, value and revision of each.
        lapsing: Keys of those whose entries are gone, perhaps only with the store's
            absence, and the time that they still have to return.
    """

    revision: int
    entries: list[tuple[str, bytes, int]]
    lapsing: dict[str, float]


class BudgetAsk(NamedTuple):
    """Asks a peer to lend the tokens of a program that it does not use."""

    program: str


class BudgetGiven(NamedTuple):
    """The answer to ``BudgetAsk``.

    Attributes:
        lent: Tokens that the asker may hand out in its place.
    """

    lent: int


class TakeOutcome(enum.StrEnum):
    """What came of a ``BudgetTake``."""

    GRANTED = "granted"
    SPENT = "spent"
    UNCERTAIN = "uncertain"


class BudgetTake(NamedTuple):
    """Asks the host that counts a program's budget for tokens.

    Attributes:
        number: Tells the sender's asks apart.
        program: The program.
        limit: Its budget, as its caller states it.
        tokens: Most tokens of the turn.
    """

    number: int
    program: str
    limit: int
    tokens: int


class BudgetTaken(NamedTuple):
    """The answer to ``BudgetTake``; ``outcome`` is a ``TakeOutcome``."""

    outcome: str


class BudgetSettle(NamedTuple):
    """Ends the turn of a ``BudgetTake``, which handed out ``used`` tokens."""

    number: int
    used: int


class ProgramAsk(NamedTuple):
    """Asks the host that counts a program's budget whether it knows it."""

    program: str


class ProgramKnown(NamedTuple):
    """The answer to ``ProgramAsk``."""

    known: bool
