"""State of one program, rebuilt from its events."""

from collections import deque
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, NamedTuple

from magnoliaroad.programs.bound import messages_token_bound, prompt_token_bound
from magnoliaroad.programs.budget import Budget
from magnoliaroad.programs.chain import EMPTY_DIGEST, digest_chain
from magnoliaroad.programs.events import (
    ProgramEnded,
    ProgramReleased,
    ProgramStarted,
    TurnBegun,
    TurnSettled,
    unpack_event,
)
from magnoliaroad.programs.open_turn import OpenTurn

# Number of ended attempts that are kept to recognise late or duplicate messages.
MAX_ENDED_ATTEMPTS = 8


class CountedPrompt(NamedTuple):
    """Tokens of the last prompt as counted by the engine; the next one begins with it.

    Attributes:
        route: Route of the call; it identifies the tokenizer.
        extra_bytes: Bytes of other prompt content, such as tool definitions.
        tokens: Tokens of the prompt.
    """

    route: str
    extra_bytes: int
    tokens: int


class Program:
    """History, order and budget of a program.

    Messages are not held in memory but read from the records when needed.

    Args:
        program_id: Full id.
        team: Team that owns the program.
        budget: Budget that it shares with its parent and children.
        read_record: Returns the body of the record with a sequence number.
    """

    def __init__(
        self,
        program_id: str,
        team: str,
        budget: Budget,
        read_record: Callable[[int], bytes],
    ) -> None:
        self.program_id = program_id
        self.team = team
        self.budget = budget
        self.sequence = 0
        self.turn_count = 0
        self.attempt_count = 0
        self.digests: list[bytes] = []
        # Number of history messages up to the end of each kept turn's request.
        self.request_ends: list[int] = []
        self.open_turn: OpenTurn | None = None
        self.last_settled: TurnSettled | None = None
        self.ended = ""
        self.targets: set[str] = set()
        self.last_active_s = 0.0
        self._last_prompt: CountedPrompt | None = None
        self._ended_attempts: deque[str] = deque(maxlen=MAX_ENDED_ATTEMPTS)
        self._lapsed_turn: OpenTurn | None = None
        self._read_record = read_record
        self._begun_sequence = 0
        # Sequence numbers of the records of kept turns, alternately begun and settled.
        self._history_sequences: list[int] = []

    @property
    def digest(self) -> bytes:
        """Digest of the whole history."""
        return self.digests[-1] if self.digests else EMPTY_DIGEST

    def apply(self, event: Any, now: float) -> None:
        """Applies the next event."""
        self.sequence += 1
        self.last_active_s = now
        self._apply(event, now)

    def messages(self) -> list[dict[str, Any]]:
        """Returns the whole history."""
        found: list[dict[str, Any]] = []
        for sequence in self._history_sequences:
            event = unpack_event(self._read_record(sequence))
            if isinstance(event, TurnBegun):
                found.extend(event.messages)
            else:
                found.append(event.answer)
        return found

    def answer(self, number: int) -> dict[str, Any]:
        """Returns the kept answer of turn ``number``."""
        return unpack_event(
            self._read_record(self._history_sequences[2 * number - 1])
        ).answer

    def digest_before(self, number: int) -> bytes:
        """Returns the digest of the history before turn ``number``."""
        return (
            EMPTY_DIGEST if number == 1 else self.digests[self.request_ends[number - 2]]
        )

    def prompt_tokens(
        self, route: str, extra_bytes: int, new: list[dict[str, Any]]
    ) -> int:
        """Returns an upper bound of the next prompt's tokens."""
        last_prompt = self._last_prompt
        if last_prompt is None or (last_prompt.route, last_prompt.extra_bytes) != (
            route,
            extra_bytes,
        ):
            return prompt_token_bound([*self.messages(), *new], extra_bytes)
        answer = self.answer(self.turn_count)
        return last_prompt.tokens + messages_token_bound([answer, *new])

    def is_budget_spent(self, route: str, extra_bytes: int) -> bool:
        """Whether no further call can fit into the budget."""
        reserved = self.budget.reserved
        min_tokens = self.prompt_tokens(route, extra_bytes, [])
        return not reserved and min_tokens >= self.budget.remaining

    def unsettled_turn(self, attempt: str) -> OpenTurn | None:
        """Returns the open or lapsed turn of ``attempt``; ``None`` if it is neither."""
        for turn in (self.open_turn, self._lapsed_turn):
            if turn is not None and turn.attempt == attempt:
                return turn
        return None

    def has_ended_attempt(self, attempt: str) -> bool:
        """Whether ``attempt`` has ended, so that a request to begin it is late."""
        return attempt in self._ended_attempts

    @singledispatchmethod
    def _apply(self, event: Any, now: float) -> None:
        raise TypeError(f"not a program event: {event!r}")

    @_apply.register
    def _(self, event: ProgramStarted, now: float) -> None:
        self.team = event.team

    @_apply.register
    def _(self, event: TurnBegun, now: float) -> None:
        self.attempt_count += 1
        self.open_turn = OpenTurn(
            event.attempt,
            event.host,
            event.messages,
            event.reserved,
            event.route,
            event.extra_bytes,
            now,
        )
        self._lapsed_turn = None
        self._begun_sequence = self.sequence
        self.budget.reserve(event.attempt, event.reserved)

    @_apply.register
    def _(self, event: TurnSettled, now: float) -> None:
        turn = self.unsettled_turn(event.attempt)
        if turn is None:
            return
        if turn is self._lapsed_turn:
            self.budget.settle(event.attempt, -turn.reserved)
        self.open_turn = None
        self.last_settled = event
        self._ended_attempts.append(event.attempt)
        self._lapsed_turn = turn if event.lapsed else None
        self.budget.settle(event.attempt, event.charged)
        if event.target:
            self.targets.add(event.target)
        if event.answer is not None:
            self._add_to_history(turn, event)

    @_apply.register
    def _(self, event: ProgramEnded, now: float) -> None:
        self.ended = event.reason

    @_apply.register
    def _(self, event: ProgramReleased, now: float) -> None:
        self.targets.discard(event.target)

    def _add_to_history(self, turn: OpenTurn, event: TurnSettled) -> None:
        self._history_sequences += [self._begun_sequence, self.sequence]
        self.digests += digest_chain([*turn.messages, event.answer], self.digest)
        self.turn_count += 1
        self.request_ends.append(len(self.digests) - 1)
        self._last_prompt = None
        if event.prompt_tokens:
            self._last_prompt = CountedPrompt(
                turn.route, turn.extra_bytes, event.prompt_tokens
            )
