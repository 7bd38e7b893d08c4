"""A host near its limit of memory (FAULT).

Guards against a host that the platform ends with all its requests because of a few
callers that do not read their answers.
"""

import asyncio
import contextlib

from tests.platform.host_process import HEADERS, host_process
from tests.platform.raw_caller import raw_connection, read_answer, request_bytes
from tests.platform.target_standin import LARGE_PATH, TargetStandin

# Size of an answer; a host passes one on as fast as its caller reads.
ANSWER_BYTES = 8_000_000
CALLERS = 60


async def test_a_host_near_its_limit_gives_up_what_holds_most(tmp_path):
    # At rest a host holds more than 70 % of this.
    memory = {"limit_mb": 55}
    target = TargetStandin("i-app", "app")
    async with host_process(tmp_path, target, memory=memory) as host:
        await host.until_ready()
        done = asyncio.Event()
        path = f"{LARGE_PATH}{ANSWER_BYTES}"

        async def hold():
            with contextlib.suppress(OSError):
                async with raw_connection(host.listen["callers"], 4096) as (_, writer):
                    writer.write(request_bytes(HEADERS, path))
                    await done.wait()

        held = [asyncio.create_task(hold()) for _ in range(CALLERS)]
        await host.until_logged("memory given up")
        assert host.proc.returncode is None
        done.set()
        await asyncio.gather(*held)
        line = host.logged("memory given up")[0]
        assert line["holder"] == "callers"
        async with raw_connection(host.listen["callers"]) as (reader, writer):
            writer.write(request_bytes(HEADERS, "/pay/x", "POST", body=b"x"))
            assert (await read_answer(reader, "POST")).body == b"whole"
