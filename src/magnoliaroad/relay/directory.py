"""How a platform writes configuration and targets into its store."""

import abc
from typing import NamedTuple

from magnoliaroad.relay.plan import RelayPlan
from magnoliaroad.relay.target import RelayTarget


class BadEntry(ValueError):
    """An entry of the store that cannot be read; says which field and why."""


class Retirement(NamedTuple):
    """A host that is to be emptied before it is taken away.

    Attributes:
        host: Name of the host.
        status_key: Key under which the answer is written.
        begun: Value that says that the host is being emptied.
        done: Value that says that it holds nothing any more.
    """

    host: str
    status_key: str
    begun: bytes
    done: bytes


class Directory(abc.ABC):
    """Decodes what the operator and the targets write."""

    operator_prefix: str
    target_prefix: str
    retirement_prefix: str

    @abc.abstractmethod
    def read_plan(self, key: str, value: bytes) -> RelayPlan | None:
        """Returns the configuration in an entry; ``None`` for other keys.

        Raises:
            BadEntry: The entry cannot be read.
        """

    @abc.abstractmethod
    def read_target(self, key: str, value: bytes) -> RelayTarget:
        """Returns the target in an entry; raises ``BadEntry``."""

    @abc.abstractmethod
    def read_retirement(self, key: str) -> Retirement | None:
        """Returns what ``key`` asks to be emptied; ``None`` for other keys."""
