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
