import asyncio
import functools
import gc
import inspect
import re
from pathlib import Path

import pytest
from loguru import logger

# A coroutine test that takes longer has hung. It is cancelled where it waits, before
# the limit of pytest-timeout in pyproject.toml, which cannot show where that is.
TEST_TIMEOUT_S = 95.0


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_setup(item):
    test = getattr(item, "obj", None)
    if not inspect.iscoroutinefunction(test):
        return

    @functools.wraps(test)
    async def with_timeout(*args, **kwargs):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await test(*args, **kwargs)

    item.obj = with_timeout


def known_failures(text):
    """Returns the ids of the tests in a list of known failures."""
    return set(re.findall(r"^  test: (\S+)$", text, re.MULTILINE))


def pytest_collection_modifyitems(items):
    # A listed test that passes is reported as failed, so that its entry gets removed.
    path = Path(__file__).parents[1] / "KNOWN-RED.txt"
    listed = known_failures(path.read_text() if path.exists() else "")
    for item in items:
        if item.nodeid in listed:
            mark = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True)
            item.add_marker(mark)


@pytest.fixture(scope="module", autouse=True)
def _frozen_objects():
    """Exempts objects of earlier tests from collections, as hosts do after a start."""
    gc.collect()
    gc.freeze()


@pytest.fixture
def loop():
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


@pytest.fixture
def run(loop):
    return loop.run_until_complete


@pytest.fixture
def logged():
    """Log events with their fields, as dicts."""
    lines = []

    def record_line(message):
        record = message.record
        lines.append({"event": record["message"], **record["extra"]})

    handler_id = logger.add(record_line, level="INFO")
    yield lines
    logger.remove(handler_id)
