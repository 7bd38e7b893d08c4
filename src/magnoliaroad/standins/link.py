"""TCP proxy on loopback that can be cut, to test network partitions."""

import asyncio
import contextlib

READ_BYTES = 65_536


class Link:
    """Forwards TCP connections from one address to another.

    While cut, a link still accepts connections and bytes but forwards nothing, like a
    network path that has lost its connection state.

    Args:
        address: IP address to listen on.
        port: TCP port to listen on.
        target: IP address and port that connections are forwarded to.

    Attributes:
        dropped_reads: Number of reads whose bytes were not forwarded because the link
            was cut.
    """

    def __init__(self, address: str, port: int, target: tuple[str, int]) -> None:
        self.address = address
        self.port = port
        self.target = target
        self.dropped_reads = 0
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening; updates ``port`` if it was 0."""
        self._server = await asyncio.start_server(
            self._handle_connection, self.address, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Stops forwarding bytes, without closing connections."""
        self._open.clear()

    def heal(self) -> None:
        """Forwards new connections again; those that lost bytes are closed."""
        self._open.set()

    def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            await self._open.wait()
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.target
            )
            await self._forward(reader, upstream_writer, upstream_reader, writer)
        except OSError:
            pass
        finally:
            writer.transport.abort()
            if upstream_writer is not None:
                upstream_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        upstream_writer: asyncio.StreamWriter,
        upstream_reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pumps = [
            asyncio.create_task(self._pump(reader, upstream_writer)),
            asyncio.create_task(self._pump(upstream_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if not self._open.is_set():
                    self.dropped_reads += 1
                    # The bytes are lost, so the connection can't be used after the cut.
                    await self._open.wait()
                    return
                writer.write(data)
                await writer.drain()
            writer.write_eof()
