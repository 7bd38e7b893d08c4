import asyncio
import functools
import inspect

import pytest

# A test that takes this long has hung: it fails where it waits, before the limit of
# pytest-timeout in pyproject.toml, which cannot tell what a coroutine waits for.
HANG_S = 95.0


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_setup(item):
    test = getattr(item, "obj", None)
    if not inspect.iscoroutinefunction(test):
        return

    @functools.wraps(test)
    async def within_limit(*args, **kwargs):
        async with asyncio.timeout(HANG_S):
            return await test(*args, **kwargs)

    item.obj = within_limit


@pytest.fixture
def loop():
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


@pytest.fixture
def run(loop):
    return loop.run_until_complete
