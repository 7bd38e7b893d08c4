"""How much is read from a connection at once."""

# Bytes that are read at first and at most. A larger read saves time on large bodies;
# what exceeds the buffer of a body is held for each caller.
FIRST_READ_BYTES = 4096
MAX_READ_BYTES = 32_768
# Bytes for each line below which a read counts as divided into small parts. Chunks of
# some 25 bytes and fields of a head have more.
SMALL_PART_BYTES = 16


class ReadSize:
    """Grows while reads are filled with large parts of bodies.

    Attributes:
        size: Most bytes to read at once.
    """

    def __init__(self) -> None:
        self.size = FIRST_READ_BYTES

    def adapt(self, read_bytes: int, lines: int) -> int:
        """Returns the size of the next read.

        Args:
            read_bytes: Size of the last one.
            lines: Line ends in it that divide heads or chunks.
        """
        if lines * SMALL_PART_BYTES > read_bytes:
            self.size = FIRST_READ_BYTES
        elif read_bytes >= self.size:
            self.size = min(MAX_READ_BYTES, 2 * self.size)
        return self.size
