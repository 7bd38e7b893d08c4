"""Chooses the target at which a stream is expected to end first."""

from collections.abc import Sequence
from typing import NamedTuple

from magnoliaroad.rendezvous import highest_ranked

# Part of a turn's time by which a full batch makes it longer.
FULL_BATCH_PART = 0.5
# Time by which another data centre must be faster: the way there and back in seconds,
# and as part of a turn's time for the bytes, which are costly between data centres.
FAR_S = 0.005
FAR_PART = 0.5
# A program changes its target only if it ends earlier by this much: by time in seconds,
# and as part of the turn's time. Less is within the error of the estimate.
MOVE_MARGIN_S = 0.01
MOVE_MARGIN_PART = 0.1
# Candidates that are expected to end later than the best by no more than this part of a
# turn count as equally good. With less, hosts whose news is older than a turn takes all
# send to the few that were the best.
TIE_PART = 0.5


class Candidate(NamedTuple):
    """What counts for and against one target.

    Attributes:
        name: Id of the target.
        turn_s: Time that a turn takes there alone, in seconds.
        load: Requests there.
        slots: Requests that it can run at the same time.
        is_far: Whether it is in another data centre.
        free_tokens: Tokens that its memory holds beyond the requests there.
        prompt_s: Time to compute the prompt there if it is not held, in seconds.
    """

    name: str
    turn_s: float
    load: float
    slots: int
    is_far: bool
    free_tokens: float
    prompt_s: float


class Choice(NamedTuple):
    """A chosen target.

    Attributes:
        name: Id of the target.
        end_s: Time until the turn is expected to end, in seconds.
        reason: ``kept``, ``moved`` or ``new``.
        candidate: What counted for and against it.
    """

    name: str
    end_s: float
    reason: str
    candidate: Candidate


def expected_end_s(candidate: Candidate, holds_prompt: bool, tokens: int) -> float:
    """Returns the time until a turn ends at a target, in seconds.

    Args:
        candidate: The target.
        holds_prompt: Whether it has computed the prompt.
        tokens: Tokens of the request.
    """
    slots = max(1, candidate.slots)
    turn_s = candidate.turn_s
    waiting = max(0.0, candidate.load + 1.0 - slots)
    if candidate.free_tokens < tokens:
        # It runs once another request has ended.
        waiting = max(waiting, slots)
    wait_s = waiting / slots * turn_s
    batch_s = FULL_BATCH_PART * min(1.0, candidate.load / slots) * turn_s
    prompt_s = 0.0 if holds_prompt else candidate.prompt_s
    way_s = FAR_S + FAR_PART * turn_s if candidate.is_far else 0.0
    return way_s + wait_s + prompt_s + turn_s + batch_s


def choose_by_expected_end(
    candidates: Sequence[Candidate], placed: str, request: str, tokens: int
) -> Choice:
    """Returns the target at which a turn of a program ends first.

    For the load pattern of targets of different speed that are short of slots at times:
    programs stay with the target that has computed their prompt, unless waiting or its
    pace costs more than the prompt. Hosts that have the same news, up to half a second
    old, must not all send to the target that was the best: each request draws one of
    those that are about as good. Among these, targets of other data centres are drawn
    only if one of them is the best. A target whose memory the request would exceed
    might end, and gets it only if there is no other.

    Args:
        candidates: The targets to choose from.
        placed: Target that served the last turn of the program; empty if unknown.
        request: Id of the request.
        tokens: Tokens of the request.
    """
    with_memory = [c for c in candidates if c.free_tokens >= tokens]
    candidates = with_memory or candidates
    by_name = {candidate.name: candidate for candidate in candidates}
    ends = {
        candidate.name: expected_end_s(candidate, candidate.name == placed, tokens)
        for candidate in candidates
    }
    best = min(candidates, key=lambda candidate: ends[candidate.name])
    best_s = ends[best.name]
    fastest_s = min(candidate.turn_s for candidate in candidates)
    margin_s = max(MOVE_MARGIN_S, MOVE_MARGIN_PART * fastest_s)
    if placed in ends and ends[placed] <= best_s + margin_s:
        return Choice(placed, ends[placed], "kept", by_name[placed])
    tie_s = best_s + TIE_PART * fastest_s
    equal = [
        candidate.name
        for candidate in candidates
        if ends[candidate.name] <= tie_s and candidate.is_far <= best.is_far
    ]
    name = highest_ranked(request, equal)
    reason = "moved" if placed else "new"
    return Choice(name, ends[name], reason, by_name[name])
