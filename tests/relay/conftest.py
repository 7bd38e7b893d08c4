import pytest

from tests.fakes.loop import VirtualTimeLoop


@pytest.fixture
def loop():
    loop = VirtualTimeLoop()
    yield loop
    loop.close()
