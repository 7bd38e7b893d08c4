import pytest
from loguru import logger


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
