"""The accepted configuration as read from or written to the store."""

from typing import NamedTuple

from magnoliaroad.config.document import Config
from magnoliaroad.config.head import ConfigHead


class AcceptedConfig(NamedTuple):
    """A configuration with its head and the store revision of that head.

    Attributes:
        config: The configuration.
        head: Head of the configuration.
        store_revision: Store revision of the head entry, expected by the next
            compare-and-swap; 0 when the store has no head.
    """

    config: Config
    head: ConfigHead
    store_revision: int
