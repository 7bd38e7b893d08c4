"""Programs of a single call, which need no owner and no records."""

from returns.result import Failure, Result, Success

from magnoliaroad.programs.bound import prompt_token_bound
from magnoliaroad.programs.call import Call
from magnoliaroad.programs.refusals import over_budget
from magnoliaroad.programs.turn import Turn
from magnoliaroad.refusal import Refusal


def begin_single(call: Call, budget: int, answer_tokens: int) -> Result[Turn, Refusal]:
    """Returns the only turn of a program, its answer limited to ``budget``."""
    prompt = prompt_token_bound(call.messages, call.extra_bytes)
    allowed = min(call.max_tokens or answer_tokens, budget - prompt)
    if allowed <= 0:
        return Failure(over_budget(call.program, budget, prompt))
    return Success(Turn(call.program, 1, call.messages, allowed, prompt + allowed))
