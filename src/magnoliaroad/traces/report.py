"""Results of a replay."""

import math
import statistics
from typing import NamedTuple


class Report(NamedTuple):
    """Latencies and counts of a replay.

    Attributes:
        latencies: Team and latency in seconds of each program that is not a helper.
        prompt_tokens: Tokens of all prompts.
        recomputed_tokens: Prompt tokens that some engine had computed before and that
            were computed again, because the chosen engine did not have them cached.
        refusals: Refused requests; callers retry them later.
        wrongful_refusals: Refused requests of teams within their rate.
        unanswered: Programs that did not end within the time limit.
        ended_s: Time at which the last program ended.
        held_blocks: Cache blocks that engines hold at the end of the replay.
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
        """Returns the latency that ``fraction`` (0 to 1) of the programs meet."""
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
        """Share of the prompt tokens that were recomputed."""
        return self.recomputed_tokens / max(1, self.prompt_tokens)
