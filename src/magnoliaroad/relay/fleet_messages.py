"""Messages between relay hosts: heartbeats, configuration, targets and budgets."""

import enum
from typing import NamedTuple

from magnoliaroad.relay.quota import TeamCount
from magnoliaroad.relay.target import TargetStart
from magnoliaroad.relay.target_table import TargetCooldown


class Heartbeat(NamedTuple):
    """The heartbeat of a host: its state, sent to its peers at regular intervals.

    Attributes:
        host: Name of the sender.
        boot: Identifier of the sender's incarnation, new with each start.
        data_centre: Data centre of the sender.
        address: IP address of its peer port.
        port: Its peer port.
        age_s: Time since the sender's start.
        draining: Whether the sender is about to stop.
        store_lost: Whether the sender has lost contact with the store.
        slow: Whether the sender's timers run so late that it delays requests.
        targets_revision: Store revision of the newest change of targets that the sender
            has applied.
        plan_version: Version of the configuration in force at the sender.
        plan_key: Store key of that configuration; empty for none.
        plan_bytes: Size of that configuration in the store.
        admitted: Requests admitted since the sender's start, by team.
        has_all_teams: Whether ``admitted`` has all teams; otherwise only those whose
            counts changed recently.
        in_flight: In-flight requests by target.
        cooldowns: Cooldowns of targets that failed recently at the sender.
        leaving: Targets that have announced their shutdown.
        quarantined: Digest of the quarantine's decisions on requests that crash
            targets; 0 for none.
    """

    TAG = "Beat"

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
    has_all_teams: bool
    in_flight: dict[str, int]
    cooldowns: dict[str, TargetCooldown]
    leaving: list[TargetStart] = []
    quarantined: int = 0


class PlanRequest(NamedTuple):
    """Asks a peer for its configuration if it is newer than ``version``."""

    TAG = "PlanAsk"

    version: int


class PlanReply(NamedTuple):
    """The reply to ``PlanRequest``: key and value of the configuration's store entry.

    Both are empty if the peer has none that is newer.
    """

    TAG = "PlanTold"

    key: str
    value: bytes


class TargetsRequest(NamedTuple):
    """Asks a peer for its targets; ``revision`` is the newest that the sender has."""

    TAG = "TargetsAsk"

    revision: int


class TargetsReply(NamedTuple):
    """The reply to ``TargetsRequest``: store entries of the peer's targets.

    Attributes:
        revision: Revision of the newest change that the peer has applied.
        entries: Key, value and revision of each entry.
        lapsing: Keys of entries that are missing, perhaps only because the store was
            out of reach, with the time left for each to return, in seconds.
    """

    TAG = "TargetsTold"

    revision: int
    entries: list[tuple[str, bytes, int]]
    lapsing: dict[str, float]


class BudgetLoanRequest(NamedTuple):
    """Asks a peer to lend the tokens of a program's budget that it does not use."""

    TAG = "BudgetAsk"

    program: str


class BudgetLoanReply(NamedTuple):
    """The reply to ``BudgetLoanRequest``.

    Attributes:
        lent: Tokens that the sender of ``BudgetLoanRequest`` may use in the peer's
            place.
    """

    TAG = "BudgetGiven"

    lent: int


class ReservationOutcome(enum.StrEnum):
    """The outcome of a ``BudgetReservationRequest``."""

    GRANTED = "granted"
    SPENT = "spent"
    UNCERTAIN = "uncertain"


class BudgetReservationRequest(NamedTuple):
    """Asks the host that counts a program's budget to reserve tokens for a turn.

    Attributes:
        number: Identifies the reservation among those of the sender.
        program: Id of the program.
        limit: Budget of the program in tokens, as its caller states it.
        tokens: Most tokens that the turn may use.
    """

    TAG = "BudgetTake"

    number: int
    program: str
    limit: int
    tokens: int


class BudgetReservationReply(NamedTuple):
    """The reply to ``BudgetReservationRequest``.

    Attributes:
        outcome: A ``ReservationOutcome``.
    """

    TAG = "BudgetTaken"

    outcome: str


class BudgetReservationEnd(NamedTuple):
    """Ends the reservation of a ``BudgetReservationRequest``.

    Attributes:
        number: The request's number.
        used: Tokens that its turn used.
    """

    TAG = "BudgetSettle"

    number: int
    used: int


class ProgramKnownRequest(NamedTuple):
    """Asks the host that counts a program's budget whether it has the program."""

    TAG = "ProgramAsk"

    program: str


class ProgramKnownReply(NamedTuple):
    """The reply to ``ProgramKnownRequest``."""

    TAG = "ProgramKnown"

    known: bool
