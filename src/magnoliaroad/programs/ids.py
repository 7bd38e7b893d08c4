"""Program ids, which hold the home data centre and the parent."""

import secrets

HOME_SEPARATOR = "~"
CHILD_SEPARATOR = "/"
ID_BYTES = 12


def new_program_id(data_centre: str) -> str:
    """Returns a new program id with ``data_centre`` as its home."""
    return f"{data_centre}{HOME_SEPARATOR}{secrets.token_hex(ID_BYTES)}"


def full_id(program: str, parent: str) -> str:
    """Returns the id of ``program``, prefixed with the id of its parent."""
    if not parent or program.startswith(parent + CHILD_SEPARATOR):
        return program
    return f"{parent}{CHILD_SEPARATOR}{program}"


def root_of(program: str) -> str:
    """Returns the id of the topmost ancestor, whose budget is used."""
    return program.partition(CHILD_SEPARATOR)[0]


def home_of(program: str) -> str:
    """Returns the home data centre of an issued id; empty for a caller's own id."""
    home, separator, _ = root_of(program).rpartition(HOME_SEPARATOR)
    return home if separator else ""


def is_issued(program: str) -> bool:
    """Whether the system issued the id of the program's root."""
    return HOME_SEPARATOR in root_of(program)
