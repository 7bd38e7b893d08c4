"""What the connections of callers of a process may hold together."""

from magnoliaroad.caller_load.parse_turns import ParseTurns
from magnoliaroad.head_memory import HeadMemory
from magnoliaroad.memory.settings import MemorySettings
from magnoliaroad.receive_buffers import ReceivePool


class CallerLimits:
    """Bounds over all connections to the addresses of a process for HTTP.

    Args:
        cfg: Limit of the process and parts of it.

    Attributes:
        heads: Incomplete heads of requests.
        turns: Turns of the connections with bodies in small chunks.
        receive_pool: Buffers of the kernel for large bodies.
    """

    def __init__(self, cfg: MemorySettings) -> None:
        self.heads = HeadMemory()
        self.turns = ParseTurns()
        self.receive_pool = ReceivePool(cfg.receive_bytes)
