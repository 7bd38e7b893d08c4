"""Ways in which the stand-in for a target ends answers, other than by their length.

``"bare"`` is a body with neither length nor chunks that is ended by the end of the
connection, and ``"bare_reset"`` the first half of one, ended by a reset.
``"bare_half"`` and ``"chunked_half"`` end a stream inside its last event, by the end of
the connection and by a last chunk. ``"head_cut"`` ends the connection inside the head.
``"refusal_first"`` writes a refusal without a request id before the answer.
"""

import asyncio
import socket
import struct

ANSWER_ENDS = (
    "bare",
    "bare_reset",
    "bare_half",
    "chunked_half",
    "head_cut",
    "refusal_first",
)
REFUSAL = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nMagnoliaroad-Not-Executed: 1\r\n\r\n"
# Time for which bytes are read before the connection is reset; a reset discards those
# that are on the way.
READ_TIME_S = 0.05


def reset(writer):
    """Resets a connection; the end of ``abort`` alone may look like a planned one."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    writer.transport.abort()


def half_event(event):
    """Returns an event up to the middle of its second field."""
    return event[: event.index(b"data") + 2]


async def write_answer(act, writer, head, body):
    """Writes an answer of one piece.

    Args:
        act: One of ``ANSWER_ENDS``.
        writer: Writer of the connection.
        head: Status line and fields, without those of the body's length.
        body: The whole body.

    Returns:
        Whether the connection stays open.
    """
    if act == "head_cut":
        writer.write(head.encode()[: len(head) // 2])
        return False
    if act in ("bare", "bare_reset"):
        half = act == "bare_reset"
        writer.write(f"{head}\r\n".encode() + body[: len(body) // 2 if half else None])
        await writer.drain()
        if half:
            await asyncio.sleep(READ_TIME_S)
            reset(writer)
        return False
    if act == "refusal_first":
        writer.write(REFUSAL)
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()
    return True
