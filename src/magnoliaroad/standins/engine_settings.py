"""Settings of a stand-in engine."""

from typing import NamedTuple


class EngineSettings(NamedTuple):
    """Speed, memory and reporting delays of an engine.

    Attributes:
        step_s: Time of a step with an empty batch, in seconds.
        step_per_request_s: Time that each request in the batch adds to a step.
        prefill_tokens_per_s: Prompt tokens computed per second.
        chunk_tokens: Maximum number of prompt tokens computed in one step.
        batch: Maximum number of requests that run at once.
        memory_tokens: Number of tokens whose keys and values fit into memory.
        bytes_per_token: Memory of one token's keys and values.
        load_lag_s: Age of the reported load.
        event_lag_s: Delay before a cache event is published.
        event_gap: Fraction of cache events that are never published.
        event_limit: Number of recent cache events that are kept.
        fenced: Whether orders with a stale fencing token are refused.
    """

    step_s: float = 0.020
    step_per_request_s: float = 0.00045
    prefill_tokens_per_s: float = 8000.0
    chunk_tokens: int = 512
    batch: int = 24
    memory_tokens: int = 240_000
    bytes_per_token: int = 131_072
    load_lag_s: float = 0.5
    event_lag_s: float = 1.0
    event_gap: float = 0.02
    event_limit: int = 20_000
    fenced: bool = True
