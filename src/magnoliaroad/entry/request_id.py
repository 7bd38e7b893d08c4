"""Request ids, and the headers that carry ids."""

import secrets

REQUEST_HEADER = "X-Request-Id"
PROGRAM_HEADER = "X-Program-Id"

ID_BYTES = 16


def new_id() -> str:
    """Returns a new random id in hexadecimal."""
    return secrets.token_hex(ID_BYTES)
