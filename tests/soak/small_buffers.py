"""Starts a host whose connections have small send buffers and can be cut.

As on hosts with little memory for sockets, most of an answer to a slow caller then
stays in the process and not in the kernel.
"""

import runpy
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2]))

from tests.soak import target_cuts  # noqa: E402

SEND_BUFFER_BYTES = 4096
_listen = socket.socket.listen


def _listen_with_small_buffers(sock, *args):
    # Accepted sockets inherit the size.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return _listen(sock, *args)


if __name__ == "__main__":
    socket.socket.listen = _listen_with_small_buffers
    target_cuts.install()
    host = Path(__file__).parents[2] / "platform" / "host.py"
    runpy.run_path(str(host), run_name="__main__")
