"""Keys of entries that are named by callers."""

import hashlib

from magnoliaroad.store.interface import MAX_KEY_BYTES


def key_of(prefix: str, name: str) -> str:
    """Returns the key of the entry that ``name`` has under ``prefix``.

    The name is replaced by its hash if the key would be longer than the store allows.
    A cryptographic hash is used, as callers choose the names.
    """
    key = prefix + name
    if len(key.encode(errors="surrogatepass")) <= MAX_KEY_BYTES:
        return key
    digest = hashlib.sha256(name.encode(errors="surrogatepass")).hexdigest()
    return f"{prefix}sha256-{digest}"
