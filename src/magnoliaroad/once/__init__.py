"""At-most-once execution of calls, with records of intents and answers."""

from magnoliaroad.once.attempt import Attempt
from magnoliaroad.once.conclusion import Conclusion
from magnoliaroad.once.intent import Intent
from magnoliaroad.once.ledger import Ledger
from magnoliaroad.once.service import OnceService
from magnoliaroad.once.settings import OnceSettings
from magnoliaroad.once.stored import StoredAnswer

__all__ = [
    "Attempt",
    "Conclusion",
    "Intent",
    "Ledger",
    "OnceService",
    "OnceSettings",
    "StoredAnswer",
]
