"""Interface that decodes the entries of a platform's store."""

import abc
from typing import NamedTuple

from magnoliaroad.relay.plan import RelayPlan
from magnoliaroad.relay.target import RelayTarget


class BadEntry(ValueError):
    """An entry of the store that cannot be decoded; its text has the key and reason."""


class Retirement(NamedTuple):
    """A request to move all records off a host before it is removed.

    Attributes:
        host: Name of the host.
        status_key: Key of the entry that reports the progress.
        in_progress_value: Value of that entry while records are being moved.
        completed_value: Value of that entry once the host holds no records.
    """

    host: str
    status_key: str
    in_progress_value: bytes
    completed_value: bytes


class EntryDecoder(abc.ABC):
    """Decodes the entries that the operator and the targets write.

    Attributes:
        operator_prefix: Prefix of the keys that the operator writes.
        target_prefix: Prefix of the keys of targets.
        retirement_prefix: Prefix of the keys of retirements.
    """

    operator_prefix: str
    target_prefix: str
    retirement_prefix: str

    @abc.abstractmethod
    def read_plan(self, key: str, value: bytes) -> RelayPlan | None:
        """Returns the configuration in an entry; ``None`` for other keys.

        Raises:
            BadEntry: The entry cannot be decoded.
        """

    @abc.abstractmethod
    def read_target(self, key: str, value: bytes) -> RelayTarget:
        """Returns the target in an entry; raises ``BadEntry``."""

    def read_evacuated_name(self, key: str) -> str | None:
        """Returns the data centre that ``key`` orders to evacuate.

        ``None`` for other keys, and on platforms without such orders.
        """
        return None

    def find_evacuation_fault(self, key: str, value: bytes) -> str:
        """Returns what is malformed in an order to evacuate; empty if it is sound."""
        return ""

    @abc.abstractmethod
    def read_retirement(self, key: str) -> Retirement | None:
        """Returns the retirement that ``key`` asks for; ``None`` for other keys."""
