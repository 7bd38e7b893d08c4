import pytest
from loguru import logger


@pytest.fixture
def unlogged():
    """Drops the log lines of tests with many requests."""
    logger.disable("magnoliaroad")
    yield
    logger.enable("magnoliaroad")


@pytest.fixture
def uncooled(monkeypatch):
    """Lets targets that failed get new requests at once."""
    monkeypatch.setattr("magnoliaroad.relay.run.COOLDOWN_S", 0.0)
