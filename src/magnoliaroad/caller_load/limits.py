"""What the connections of callers of a process may hold together."""

import resource

from magnoliaroad.caller_load.parse_turns import ParseTurns
from magnoliaroad.head_memory import HeadMemory
from magnoliaroad.memory.settings import MemorySettings
from magnoliaroad.receive_buffers import ReceivePool

# Least that a connection holds with an answer under way, in bytes: the objects of both,
# the kernel's buffer and what is read ahead.
CONNECTION_BYTES = 25_000
# Part of the descriptors for connections of callers; the others are for targets, hosts
# and files.
DESCRIPTOR_FRACTION = 0.75


class CallerLimits:
    """Bounds over all connections to the addresses of a process for HTTP.

    Args:
        cfg: Limit of the process and parts of it.

    Attributes:
        heads: Incomplete heads of requests.
        turns: Turns of the connections with bodies in small chunks.
        receive_pool: Buffers of the kernel for large bodies.
        max_connections: Connections that callers may have.
    """

    def __init__(self, cfg: MemorySettings) -> None:
        self.heads = HeadMemory()
        self.turns = ParseTurns()
        self.receive_pool = ReceivePool(cfg.receive_bytes)
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.max_connections = min(
            int(cfg.connection_fraction * cfg.limit_bytes / CONNECTION_BYTES),
            int(DESCRIPTOR_FRACTION * descriptors),
        )
