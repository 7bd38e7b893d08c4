"""Recorded programs for the ``faults`` benchmark.

``python -m bench._faults_trace`` regenerates the recording.
"""

import pathlib
import random

import msgspec

PATH = pathlib.Path(__file__).parent / "traces" / "faults.jsonl"
SEED = 17
PROGRAMS = 120
SPAN_S = 36.0
TOPICS = ("fixtures", "a dispute", "a lesson week", "a medical date", "the weather")


class TracedTurn(msgspec.Struct):
    """One turn of a program.

    Attributes:
        text: The new message. It starts with a mark that is unique to the turn.
        pause_s: Pause before the turn in seconds, as for a tool call.
        pay: ``Idempotency-Key`` of a payment after the turn; empty if there is none.
        repeats: Number of times that the payment is sent again after an answer.
    """

    text: str
    pause_s: float
    pay: str = ""
    repeats: int = 0


class TracedProgram(msgspec.Struct):
    """One program with all its turns.

    Attributes:
        program: Id of the program.
        team: Team that runs it. The team ``small`` has a small token budget.
        start_s: Start time in seconds since the start of the replay.
        whole: Whether the caller sends the whole history with each turn, else only
            the new message.
        stream: Whether the caller requests streamed answers.
        turns: Turns in order.
    """

    program: str
    team: str
    start_s: float
    whole: bool
    stream: bool
    turns: list[TracedTurn]


def mark(program: str, number: int) -> str:
    """Returns the mark of turn ``number``, counted from 1."""
    return f"[{program}/{number}]"


def make_trace(seed: int = SEED, count: int = PROGRAMS) -> list[TracedProgram]:
    """Returns ``count`` programs generated from ``seed``, by start time."""
    rng = random.Random(seed)
    programs = [_make_program(rng, f"p{n:03d}") for n in range(count)]
    return sorted(programs, key=lambda program: program.start_s)


def load_trace() -> list[TracedProgram]:
    """Returns the recorded programs."""
    lines = PATH.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=TracedProgram) for line in lines]


def _make_program(rng: random.Random, name: str) -> TracedProgram:
    small = rng.random() < 0.1
    count = 30 if small else rng.randint(3, 9)
    turns = [_make_turn(rng, name, number) for number in range(1, count + 1)]
    return TracedProgram(
        program=name,
        team="small" if small else rng.choice(("arcades", "flyers")),
        start_s=round(rng.uniform(0, SPAN_S), 2),
        whole=rng.random() < 0.5,
        stream=rng.random() < 0.5,
        turns=turns,
    )


def _make_turn(rng: random.Random, name: str, number: int) -> TracedTurn:
    words = " ".join(rng.choices(TOPICS, k=rng.randint(2, 12)))
    pays = rng.random() < 0.35
    return TracedTurn(
        text=f"{mark(name, number)} Look at {words}.",
        pause_s=round(rng.uniform(0.1, 1.5), 2),
        pay=f"{name}-{number}" if pays else "",
        repeats=rng.choice((0, 0, 1, 2)) if pays else 0,
    )


if __name__ == "__main__":
    PATH.write_bytes(b"\n".join(map(msgspec.json.encode, make_trace())) + b"\n")
