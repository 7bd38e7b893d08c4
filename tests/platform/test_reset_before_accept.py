"""Callers that have reset their connections before the host accepts them.

Guards against a busy host that begins their requests, in place of those of callers that
still wait (FAULT).
"""

import signal

from tests.platform.host_process import HEADERS, host_process, send_and_reset
from tests.platform.raw_caller import raw_connection, read_answer, request_bytes
from tests.platform.target_standin import TargetStandin

CALLERS = 200


async def test_requests_of_callers_that_have_left_are_not_begun(tmp_path):
    target = TargetStandin("i-app", "app")
    data = request_bytes(HEADERS, "/pay/x", "POST", body=b"x")
    async with host_process(tmp_path, target) as host:
        await host.until_ready()
        host.proc.send_signal(signal.SIGSTOP)
        try:
            for _ in range(CALLERS):
                send_and_reset(host.listen["callers"], data)
        finally:
            host.proc.send_signal(signal.SIGCONT)
        async with raw_connection(host.listen["callers"]) as (reader, writer):
            writer.write(request_bytes(HEADERS, "/pay/y", "POST", body=b"y"))
            assert (await read_answer(reader, "POST")).status == 200
        assert [path for _, path, *_ in target.runs] == ["/pay/y"]
        assert not host.logged("caller left")
        assert len(host.logged("placed")) == 1
