"""Callers that speak HTTP/1.0."""

import asyncio

from tests.platform.deployment import Deployment
from tests.platform.target_standin import TargetStandin


async def test_a_stream_to_an_http_1_0_caller_is_whole_and_ends_with_its_connection(
    tmp_path,
):
    """LOST: the connection was aborted, as HTTP/1.0 has no chunked encoding."""
    target = TargetStandin("i-lm")
    async with Deployment(tmp_path, target) as deployment:
        await deployment.start_records()
        address = deployment.relays[0].cfg.listen.callers
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{name}: {value}" for name, value in deployment.headers().items()]
        head = "\r\n".join(["POST /stream/t HTTP/1.0", *lines, "", ""])
        writer.write(head.encode())
        answer = await reader.read()
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith((b"HTTP/1.0 200", b"HTTP/1.1 200"))
    assert b"chunked" not in head.lower()
    assert body.count(b"data: ") == target.events
    assert body.endswith(b"\n\n")
