"""Compares the messages of a call with the kept history."""

from typing import Any

from returns.result import Failure, Result, Success

from magnoliaroad.programs.call import Call
from magnoliaroad.programs.chain import EMPTY_DIGEST, digest_chain
from magnoliaroad.programs.program import Program
from magnoliaroad.programs.refusals import history_mismatch
from magnoliaroad.refusal import Refusal

# A call that sends only new messages has none with these roles, so a call that
# has one sends the whole history.
HISTORY_ROLES = frozenset({"assistant", "system", "developer"})


def new_messages(program: Program, call: Call) -> Result[list[dict[str, Any]], Refusal]:
    """Returns the messages of ``call`` that the history does not hold yet."""
    if call.new_only or not program.digests:
        return Success(call.messages)
    digests = list(digest_chain(call.messages))
    kept = len(program.digests)
    if len(digests) > kept and digests[kept - 1] == program.digest:
        return Success(call.messages[kept:])
    if any(message.get("role") in HISTORY_ROLES for message in call.messages):
        return Failure(history_mismatch(call.program, kept))
    return Success(call.messages)


def repeated_turn(program: Program, call: Call) -> int:
    """Returns the number of the turn that ``call`` repeats; 0 for none.

    A call with only new messages is a repeat only if it gives the turn number.
    """
    whole_match = (
        0
        if call.new_only
        else _turn_ending_at(program, _last_digest(call, EMPTY_DIGEST))
    )
    if call.turn is None or whole_match:
        return whole_match if call.turn in (None, whole_match) else 0
    if call.turn > program.turn_count:
        return 0
    start = program.digest_before(call.turn)
    matched = _turn_ending_at(program, _last_digest(call, start))
    return matched if matched == call.turn else 0


def _last_digest(call: Call, start: bytes) -> bytes:
    """Returns the digest after all messages of ``call``, chained onto ``start``."""
    return list(digest_chain(call.messages, start))[-1]


def _turn_ending_at(program: Program, digest: bytes) -> int:
    """Returns the turn whose request ends with ``digest``; 0 for none."""
    for number, end in enumerate(program.request_ends, start=1):
        if program.digests[end - 1] == digest:
            return number
    return 0
