"""A request to a stand-in engine."""

from typing import NamedTuple


class EngineJob(NamedTuple):
    """A request as it is submitted to the engine.

    Attributes:
        request_id: Unique id of the request.
        program: Program that the cached blocks belong to.
        prefix: Digests of the prompt's blocks.
        prompt_tokens: Number of tokens in the prompt.
        answer_tokens: Number of tokens to generate.
        priority: Requests with lower numbers start first.
        history: Digests of the blocks of the prompt and the answer together. If
            empty, only the prompt's blocks are cached at the end.
    """

    request_id: str
    program: str
    prefix: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int
    priority: int = 0
    history: tuple[int, ...] = ()
