"""A request in progress on a stand-in engine."""

from magnoliaroad.standins.engine_job import EngineJob


class EngineSequence:
    """Progress of one request.

    Attributes:
        job: The request.
        cached_tokens: Prompt tokens that were found in the cache.
        prefill_remaining: Prompt tokens that still have to be computed.
        generated: Answer tokens generated so far.
        first_token_s: Time of the first answer token; ``None`` before it.
        finished_s: Time of the last answer token; ``None`` before it.
        held_tokens: Memory in use by the request outside the cache, in tokens.
    """

    def __init__(self, job: EngineJob, cached_tokens: int) -> None:
        self.job = job
        self.cached_tokens = cached_tokens
        self.prefill_remaining = job.prompt_tokens - cached_tokens
        self.generated = 0
        self.first_token_s: float | None = None
        self.finished_s: float | None = None
        self.held_tokens = self.prefill_remaining + job.answer_tokens

    @property
    def remaining_tokens(self) -> int:
        """Answer tokens that still have to be generated."""
        return self.job.answer_tokens - self.generated
