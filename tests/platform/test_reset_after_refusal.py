"""Callers that reset their connections while refusals are written (FAULT)."""

from tests.platform.host_process import HEADERS, host_process, send_again
from tests.platform.raw_caller import request_bytes


async def test_a_caller_that_resets_after_a_refusal_is_no_error(tmp_path):
    """Guards against a trace in the log for each such caller."""
    data = request_bytes(HEADERS, "/pay/x", "POST", body=b"x" * 500_000)
    async with host_process(tmp_path) as host:
        await host.until_ready()
        await send_again(host.listen["callers"], data, 100, 4, 0.08)
        assert host.logged("refused")
        assert not host.logged("library message")
