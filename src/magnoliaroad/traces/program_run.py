"""State of a program during a replay."""

import xxhash

from magnoliaroad.routing.prefix import BLOCK_TOKENS
from magnoliaroad.traces.record import ProgramRecord, TurnRecord


class ProgramRun:
    """Progress and history of one program.

    Attributes:
        record: The program's trace record.
        host: Index of the host that received its last call.
        turn_index: Index of its next turn.
        history_tokens: Tokens of its history, answers included.
        computed_tokens: Tokens of its history that some engine has computed.
        started_s: Time of its first call.
        parent: Program that waits for this one to end; ``None`` if it is no helper.
        pending_waits: Number of helpers and pauses that its next turn still waits for.
        engines: Names of the engines that have run its calls.
    """

    def __init__(self, record: ProgramRecord, parent: "ProgramRun | None") -> None:
        self.record = record
        self.parent = parent
        self.host = 0
        self.turn_index = 0
        self.history_tokens = record["shared_tokens"]
        self.computed_tokens = 0
        self.started_s = 0.0
        self.pending_waits = 0
        self.engines: set[str] = set()
        self._block_digests: list[int] = []

    @property
    def turn(self) -> TurnRecord:
        """The next turn."""
        return self.record["turns"][self.turn_index]

    @property
    def ended(self) -> bool:
        """Whether all turns are complete."""
        return self.turn_index >= len(self.record["turns"])

    def prefix(self, tokens: int) -> tuple[int, ...]:
        """Returns the digests of the full blocks in the first ``tokens`` tokens."""
        count = tokens // BLOCK_TOKENS
        for index in range(len(self._block_digests), count):
            self._block_digests.append(self._block_digest(index))
        return tuple(self._block_digests[:count])

    def _block_digest(self, index: int) -> int:
        record = self.record
        content_id = record["program"]
        if (index + 1) * BLOCK_TOKENS <= record["shared_tokens"]:
            content_id = f"{record['team']} {record['shape']}"
        return xxhash.xxh3_64_intdigest(f"{content_id} {index}".encode())
