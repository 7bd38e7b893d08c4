import pytest
from loguru import logger


@pytest.fixture
def logged():
    """Events logged with their fields."""
    lines = []

    def take(message):
        record = message.record
        lines.append({"event": record["message"], **record["extra"]})

    number = logger.add(take, level="INFO")
    yield lines
    logger.remove(number)
