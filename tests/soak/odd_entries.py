"""Entries of targets that another writer may leave in the store."""

LEVELS = 20_000
SOUND = b'{"service":"lm","address":"127.0.0.1:9","state":"ready"'
ODD_ENTRIES = (
    SOUND + b',"note":' + b'{"a":' * LEVELS + b"1" + b"}" * LEVELS + b"}",
    b"[" * LEVELS,
    SOUND + b',"slots":' + b"9" * 400 + b"}",
    SOUND + b',"slots":-1}',
    SOUND + b',"born":1e400}',
    SOUND.replace(b":9", b":70000") + b"}",
    SOUND.replace(b"127.0.0.1", b"host.example") + b"}",
    SOUND.replace(b"ready", b"\xff") + b"}",
    b"",
)
