"""Bounds the bytes that have arrived for a process and that it has not read yet."""

from magnoliaroad.receive_buffers.buffer import (
    FULL_BYTES,
    LEAST_BYTES,
    ReceiveBuffer,
    limit_receive_buffer,
)
from magnoliaroad.receive_buffers.pool import ReceivePool

__all__ = [
    "FULL_BYTES",
    "LEAST_BYTES",
    "ReceiveBuffer",
    "ReceivePool",
    "limit_receive_buffer",
]
