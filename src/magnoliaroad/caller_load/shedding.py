"""Ends the connections that hold most memory."""

import typing

from aiohttp import web

from magnoliaroad.caller_connection import CallerConnection

# Least that a connection holds which is given up for memory, in bytes.
MIN_SHED_BYTES = 16_384


def connections_of(server: web.Server | None) -> list[CallerConnection]:
    """Returns the connections of a server whose listener is a ``CallerListener``."""
    if server is None:
        return []
    return typing.cast(list[CallerConnection], server.connections)


def held_bytes(server: web.Server | None) -> int:
    """Returns what connections hold of requests and answers that are under way."""
    return sum(conn.held_bytes() for conn in connections_of(server))


def shed(server: web.Server | None, size: int) -> int:
    """Gives up the connections that hold most, until ``size`` bytes are free.

    Returns:
        How many bytes they held.
    """
    freed = 0
    by_size = sorted(connections_of(server), key=lambda conn: -conn.held_bytes())
    for conn in by_size:
        held = conn.held_bytes()
        if freed >= size or held < MIN_SHED_BYTES:
            break
        conn.shed()
        freed += held
    return freed
