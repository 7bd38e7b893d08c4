"""How long connections to targets that have gone silent are kept."""

import socket

from magnoliaroad import keepalive_socket
from tests.platform.deployment import Deployment
from tests.platform.target_standin import TargetStandin


def option(sock, name):
    return sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))


async def test_pooled_connections_have_short_keepalive_times(tmp_path):
    async with Deployment(tmp_path, TargetStandin("i-1", "app")) as deployment:
        assert (await deployment.call("/pay/x", "POST", b"m"))[0] == 200
        pool = deployment.relays[0].client._session.connector._conns
        ((conn, _),) = (entry for conns in pool.values() for entry in conns)
        sock = conn.transport.get_extra_info("socket")
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert option(sock, "TCP_KEEPIDLE") == 1
        assert option(sock, "TCP_KEEPINTVL") == 1
        assert option(sock, "TCP_KEEPCNT") == 2
        assert option(sock, "TCP_USER_TIMEOUT") == 2500


def test_the_user_timeout_ends_an_idle_connection_with_its_last_probe():
    """With it set, the kernel decides by the time and not by the number of probes."""
    idle_s = keepalive_socket.KEEPALIVE_IDLE_S
    interval_s = keepalive_socket.KEEPALIVE_INTERVAL_S
    probes_end_s = idle_s + interval_s * keepalive_socket.KEEPALIVE_PROBES
    user_timeout_s = keepalive_socket.UNACKED_TIMEOUT_MS / 1000
    assert probes_end_s - interval_s < user_timeout_s <= probes_end_s
