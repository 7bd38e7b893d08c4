"""``magnoliaroad key new``: generates a key for the sheet."""

from cleo.commands.command import Command

from magnoliaroad.keys import digest_key, new_key


class KeyNewCommand(Command):
    """Prints a new key and the digest to enter in the sheet."""

    name = "key new"
    description = "Make a key and its digest for the sheet; grants nothing."

    def handle(self) -> int:
        """Prints the key, which is not stored anywhere."""
        key = new_key()
        self.line(f"key (shown once): {key}")
        self.line(f"digest for the sheet: {digest_key(key)}")
        return 0
