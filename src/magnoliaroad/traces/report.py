"""What a replay came to."""

import math
import statistics
from typing import NamedTuple


class Report(NamedTuple):
    """Latencies and counts of a replay.

    Attributes:
        latencies: Team and latency in seconds of each program that is not
            another one's helper.
        prompt_tokens: Tokens of all prompts.
        recomputed_tokens: Tokens of prompts that an engine had computed
            before and did not have cached any more, or on another engine.
        refusals: Refused requests; they are sent again later.
        wrongful_refusals: Those of teams within their rate.
        unanswered: Programs without an end.
        ended_s: Time of the last answer.
        held_blocks: Cache blocks held at the end, when all programs have ended.
    """

    latencies: list[tuple[str, float]]
    prompt_tokens: int
    recomputed_tokens: int
    refusals: int
    wrongful_refusals: int
    unanswered: int
    ended_s: float
    held_blocks: int

    @property
    def mean_s(self) -> float:
        """Mean program latency in seconds."""
        return statistics.fmean(latency for _, latency in self.latencies)

    def quantile_s(self, fraction: float) -> float:
        """Returns the latency that ``fraction`` of the programs did not exceed."""
        ranked = sorted(latency for _, latency in self.latencies)
        return ranked[max(0, math.ceil(fraction * len(ranked)) - 1)]

    def team_means(self) -> dict[str, float]:
        """Returns the mean program latency of each team in seconds."""
        teams = sorted({team for team, _ in self.latencies})
        return {
            name: statistics.fmean(s for team, s in self.latencies if team == name)
            for name in teams
        }

    @property
    def recomputed_ratio(self) -> float:
        """Share of the prompt tokens that were computed again."""
        return self.recomputed_tokens / max(1, self.prompt_tokens)
