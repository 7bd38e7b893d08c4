"""Programs: ordered chains of calls with a kept history and a token budget."""

from magnoliaroad.programs.call import Call
from magnoliaroad.programs.outcome import Outcome
from magnoliaroad.programs.service import ProgramService
from magnoliaroad.programs.turn import Turn

__all__ = ["Call", "Outcome", "ProgramService", "Turn"]
