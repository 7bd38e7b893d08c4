"""Creates keys and computes their digests."""

import hashlib
import secrets

KEY_BYTES = 32


def new_key() -> str:
    """Returns a new random key."""
    return "mr-" + secrets.token_urlsafe(KEY_BYTES)


def digest_key(key: str) -> str:
    """Returns the SHA-256 of ``key`` in hexadecimal.

    A fast hash is sufficient because keys are random and ``KEY_BYTES`` long, which
    makes guessing them infeasible.
    """
    return hashlib.sha256(key.encode()).hexdigest()
