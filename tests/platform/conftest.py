import pytest
from loguru import logger


@pytest.fixture
def logged():
    """Events logged with their fields."""
    lines = []

    def record_line(message):
        record = message.record
        lines.append({"event": record["message"], **record["extra"]})

    handler_id = logger.add(record_line, level="INFO")
    yield lines
    logger.remove(handler_id)
