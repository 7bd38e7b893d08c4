"""Refusals of program calls, with the verdict on whether the call ran."""

from magnoliaroad.refusal import Refusal
from magnoliaroad.verdict import Verdict


def program_unknown(program: str) -> Refusal:
    """The program was never started, or belongs to another team."""
    return Refusal(
        code="program_unknown",
        status=404,
        message=f"Program {program!r} is not known.",
        action="Start a program and use its id.",
    )


def program_ended(program: str, reason: str) -> Refusal:
    """The program accepts no more calls."""
    return Refusal(
        code="program_ended",
        status=409,
        message=f"Program {program!r} has ended: {reason}.",
        action="Start another program.",
    )


def over_budget(program: str, remaining: int, needed: int) -> Refusal:
    """The remaining budget may be too small for the call."""
    return Refusal(
        code="budget_spent",
        status=402,
        message=(
            f"The budget of program {program!r} does not allow this call: {remaining}"
            f" tokens are left and the prompt may take {needed}."
        ),
        action="End the program, or ask an operator for a larger budget.",
    )


def turn_limit(program: str, limit: int) -> Refusal:
    """The program has reached its limit of calls."""
    return Refusal(
        code="turn_limit",
        status=409,
        message=f"Program {program!r} has made {limit} calls, the most allowed.",
        action="End the program and start another.",
    )


def turn_taken(program: str, number: int) -> Refusal:
    """The turn was answered before, with other messages."""
    return Refusal(
        code="turn_taken",
        status=409,
        message=f"Turn {number} of program {program!r} had other messages.",
        action="Read the history with GET /v1/programs/{id} and go on from there.",
    )


def history_mismatch(program: str, kept: int) -> Refusal:
    """The caller's history differs from the kept one."""
    return Refusal(
        code="history_mismatch",
        status=409,
        message=(
            f"The messages do not begin with the {kept} kept messages of program"
            f" {program!r}."
        ),
        action="Send the kept history with new messages, or start another program.",
    )


def out_of_order(program: str, turn: int, expected: int) -> Refusal:
    """An earlier turn did not arrive in time."""
    return Refusal(
        code="turn_out_of_order",
        status=409,
        message=f"Program {program!r} is at turn {expected}, not {turn}.",
        action="Send the earlier turn first, then this one again.",
        retry_after_s=1.0,
    )


def program_busy(program: str) -> Refusal:
    """An earlier turn did not end in time."""
    return Refusal(
        code="program_busy",
        status=409,
        message=f"An earlier turn of program {program!r} is still running.",
        action="Send the request again after the retry time.",
        retry_after_s=1.0,
    )


def no_owner(program: str) -> Refusal:
    """No host may act for the program at the moment."""
    return Refusal(
        code="program_waiting",
        status=503,
        message=f"Program {program!r} waits for a host to take it over.",
        action="Send the request again after the retry time.",
        retry_after_s=2.0,
    )


def memory_full(program: str) -> Refusal:
    """The owner has no memory left for a new program."""
    return Refusal(
        code="program_memory_full",
        status=503,
        message=f"No memory is left for program {program!r}.",
        action="Send the request again after the retry time.",
        retry_after_s=10.0,
    )


def turn_not_kept(program: str) -> Refusal:
    """The turn ran, but its answer could not be recorded."""
    return Refusal(
        code="turn_not_kept",
        status=503,
        message=f"The answer could not be kept in program {program!r}.",
        action="Send the same turn again; its cost was charged.",
        verdict=Verdict.RAN,
        retry_after_s=2.0,
    )
